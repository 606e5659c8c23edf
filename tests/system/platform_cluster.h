//===- tests/system/platform_cluster.h - Nodes on the platform --*- C++ -*-===//
///
/// \file
/// Starts the daemon in its roles with settings in the platform's format, and
/// stand-in workers beside its agents; signals them and reads their logs. Ends
/// what it started.
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

namespace yardwheel {

/// Tasks of a job that is on both workers, of which each has room for eight.
constexpr int BothWorkers = 12;

/// Nodes on loopback addresses of their own, with the same ports, as on the
/// users' machines.
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
  /// The log from its first line on settings that were taken over.
  std::string reloads(const std::string &Name) const;
  pid_t launch(const std::string &Name, const std::string &Settings);
  /// \throws std::runtime_error if they do not come to serve.
  void startAll();
  /// Whether an entry has heard of both workers: it gives both some tasks of a
  /// job that does not fit one.
  bool usesBothWorkers(int Front);
  void addWorker(int Side, const char *Pool = "pool");
  nlohmann::json config(std::uint64_t Version) const;
  long replace(std::uint64_t Version);
  HttpResult operatorCall(int Host, const char *Method, const char *Path,
                          const std::string &Body = "") const;
  HttpResult submit(int Front, const std::string &Id, int Tasks,
                    int Millis) const;
  /// Asks for the count of a route that the usual configuration lacks.
  HttpResult readUnknownRoute(int Front) const;
  /// The state of its route table that an entry has logged last.
  std::string tableState(const std::string &Name) const;
  HttpResult post(int Front, const std::string &Id,
                  const nlohmann::json &Body) const;
  /// Announces an earlier life of a worker to its agent.
  long announceDead(int Side) const;
  /// What a worker on this side host would say of itself.
  nlohmann::json announcement(int Side) const;
  long announce(int Side, const std::string &Id, const std::string &Body) const;
  void kill(const std::string &Name);
  void signal(const std::string &Name, int Number);
  int wait(const std::string &Name);
  /// \returns how a process has ended, a signal as 128 and its number; nothing
  /// while it runs.
  std::optional<int> tryWait(const std::string &Name);
  /// Whether a process has got as far as to deal with a signal itself.
  bool handles(const std::string &Name, int Number) const;
  std::string log(const std::string &Name) const;
  /// How often a node has logged a decision.
  int count(const std::string &Name, const std::string &Decision) const;
  const std::string &folder() const { return this->Folder; }

  /// Whether calls to workers pass a proxy; set before they are added.
  bool ProxyWorkers = false;
  /// Whether settings, logs and disks outlive this object.
  bool KeepFolder = false;
  RunRecorder Recorder;
  /// How long callers wait; set before the configuration is replaced.
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
