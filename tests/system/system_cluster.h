//===- tests/system/system_cluster.h - Real processes on loopback -*- C++ -*-=//
///
/// \file
/// Starts the daemon in its roles and fake upstreams as separate processes,
/// signals them, and reads the upstreams' log of task starts. The destructor
/// kills all processes that were started. Waits poll for a condition with
/// timeouts far above the time that a healthy cluster needs.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_SYSTEM_CLUSTER_H
#define YARDWHEEL_TESTS_SYSTEM_SYSTEM_CLUSTER_H

#include "http/http_client.h"
#include "protocol/api.pb.h"

#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace yardwheel {

struct SystemOptions {
  int Controls = 3;
  int Entries = 2;
  int Agents = 3;
  int Slots = 4;
};

/// Exit code and output of a finished program.
struct ProgramResult {
  int Code = -1;
  std::string Output;
};

class SystemCluster {
public:
  explicit SystemCluster(SystemOptions Options);
  ~SystemCluster();
  SystemCluster(const SystemCluster &) = delete;
  SystemCluster &operator=(const SystemCluster &) = delete;

  /// Starts everything, creates the workspace "bids", and waits until each
  /// entry has answered a job.
  void start();

  void startNode(const std::string &Name);
  void signal(const std::string &Name, int Signal);
  /// Sends SIGKILL and waits for the process to end.
  void killNode(const std::string &Name);
  /// Waits for a process to end.
  /// \returns its exit code, or -1 if it is still running after the timeout.
  int waitForEnd(const std::string &Name);

  HttpResult submit(const std::string &Entry, const std::string &Body);
  HttpResult call(const std::string &Method, const std::string &Url,
                  const std::string &Body = "");
  /// Runs yardwheelctl with the cluster's addresses and \p Words.
  ProgramResult ctl(const std::vector<std::string> &Words);
  ProgramResult runProgram(const std::vector<std::string> &Words);

  std::string httpOf(const std::string &Name) const {
    return this->Http.at(Name);
  }
  std::string settingsOf(const std::string &Name) const {
    return this->Folder + "/" + Name + ".yaml";
  }
  const std::string &folder() const { return this->Folder; }
  /// Returns the name of the leading control replica; empty if there is none.
  std::string leader();

  /// Returns the number of starts logged by the upstreams, by "job task".
  std::map<std::string, int> starts() const;
  /// Returns the number of tasks that were started more than once.
  int doubleStarts() const;

private:
  void writeSettings();
  std::string commonSettings(const std::string &Name,
                             const std::string &Role) const;
  pid_t launch(const std::string &Name, const std::vector<std::string> &Words);

  SystemOptions Options;
  std::string Folder;
  std::map<std::string, std::string> Link;
  std::map<std::string, std::string> Http;
  std::map<std::string, pid_t> Running;
};

/// Polls until \p Done returns true.
/// \returns false if it has not after 30 seconds.
bool waitFor(const std::function<bool()> &Done);

/// Returns a port of 127.0.0.1 on which nothing listens.
int freePort();

} // namespace yardwheel

#endif
