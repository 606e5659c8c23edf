//===- tests/system/platform_cluster.h - Nodes on the platform --*- C++ -*-===//
///
/// \file
/// Starts the daemon in its roles with settings in the platform's format, and
/// simulated workers beside its agents; sends signals to the processes and
/// reads their logs. The destructor kills all processes that were started.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_PLATFORM_CLUSTER_H
#define YARDWHEEL_TESTS_SYSTEM_PLATFORM_CLUSTER_H

#include "tests/support/silent_proxy.h"
#include "tests/system/platform_worker.h"
#include "tests/system/system_cluster.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace yardwheel {

/// Number of tasks of a job that needs both workers; each has capacity for
/// eight.
constexpr int TasksForBothWorkers = 12;

/// Nodes with their own loopback addresses and the same ports, as on the users'
/// machines.
class PlatformCluster {
public:
  PlatformCluster();
  ~PlatformCluster();

  std::string ip(int Host) const;
  std::string at(int Host, int Offset) const;
  nlohmann::json settings(const std::string &Name, int Host,
                          const char *Serves);
  void start(const std::string &Name, int Host, const char *Serves);
  void rewrite(const std::string &Name, const std::string &Settings) const;
  /// Returns the log from the first "reloaded" decision on; empty without one.
  std::string reloads(const std::string &Name) const;
  pid_t launch(const std::string &Name, const std::string &Settings,
               const std::vector<std::string> &Flags = {});
  /// Starts three control replicas, two entries and two agents with workers,
  /// and waits until the entries use both workers. \throws std::runtime_error
  /// if they do not within the timeout.
  void startAll();
  /// Submits a job that does not fit on one worker. \returns whether it was
  /// served and the entry used both workers.
  bool usesBothWorkers(int Front);
  void addWorker(int Side, const char *Pool = "pool");
  nlohmann::json config(std::uint64_t Version) const;
  long replace(std::uint64_t Version);
  HttpResult operatorCall(int Host, const char *Method, const char *Path,
                          const std::string &Body = "") const;
  HttpResult submit(int Front, const std::string &Id, int Tasks,
                    int Millis) const;
  /// Sends a GET request to a route that the usual configuration lacks.
  HttpResult readUnknownRoute(int Front) const;
  /// Returns the route table state that an entry logged last.
  std::string tableState(const std::string &Name) const;
  HttpResult post(int Front, const std::string &Id,
                  const nlohmann::json &Body) const;
  /// Announces an earlier incarnation of a worker to its agent.
  /// \returns the HTTP status.
  long announceOldIncarnation(int Side) const;
  /// Returns the announcement of a worker on this side host.
  nlohmann::json announcement(int Side) const;
  long announce(int Side, const std::string &Id, const std::string &Body) const;
  void kill(const std::string &Name);
  void signal(const std::string &Name, int Number);
  /// Returns the resident memory of a process in bytes; 0 if it has ended.
  std::size_t residentBytes(const std::string &Name) const;
  int wait(const std::string &Name);
  /// \returns the exit code of a process, or 128 plus the number of the signal
  /// that ended it; nothing while it runs.
  std::optional<int> tryWait(const std::string &Name);
  /// Returns whether a process has blocked a signal or installed a handler for
  /// it.
  bool handles(const std::string &Name, int Number) const;
  std::string log(const std::string &Name) const;
  /// Returns how often a node has logged a decision.
  int count(const std::string &Name, const std::string &Decision) const;
  const std::string &folder() const { return this->Folder; }

  /// Whether calls to workers pass through a proxy; set before workers are
  /// added.
  bool ProxyWorkers = false;
  /// Whether workers announce start times; set before workers are added.
  bool AnnouncesBorn = true;
  /// Further flags of nodes, by name; set before these are started.
  std::map<std::string, std::vector<std::string>> Flags;
  /// Whether settings, logs and data folders are kept after destruction.
  bool KeepFolder = false;
  RunRecorder Recorder;
  /// Request timeout of the routes; set before the configuration is replaced.
  std::chrono::milliseconds RouteTimeout{3000};
  std::map<int, std::unique_ptr<PlatformWorker>> Workers;
  std::map<int, std::unique_ptr<SilentProxy>> Proxies;

private:
  std::string Folder;
  std::string Net;
  bool Started = false;
  int Probes = 0;
  std::map<std::string, pid_t> Running;
};

} // namespace yardwheel

#endif
