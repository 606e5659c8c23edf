//===- tests/system/system_cluster.h - Real processes on loopback -*- C++ -*-=//
///
/// \file
/// Starts the daemon in its roles and fake upstreams as processes of their own,
/// signals them, and reads the upstreams' log of starts. Ends what it started.
/// Waits poll for a condition, with limits far above any healthy time.
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

/// What a finished program left behind.
struct ProgramEnd {
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
  /// Kills at once and waits for the end.
  void killNode(const std::string &Name);
  /// Waits for a process to end. \returns its exit code.
  int waitForEnd(const std::string &Name);

  HttpResult submit(const std::string &Entry, const std::string &Body);
  HttpResult call(const std::string &Method, const std::string &Url,
                  const std::string &Body = "");
  /// Runs yardwheelctl with the cluster's addresses.
  ProgramEnd ctl(const std::vector<std::string> &Words);
  ProgramEnd runProgram(const std::vector<std::string> &Words);

  std::string httpOf(const std::string &Name) const {
    return this->Http.at(Name);
  }
  std::string settingsOf(const std::string &Name) const {
    return this->Folder + "/" + Name + ".yaml";
  }
  const std::string &folder() const { return this->Folder; }
  /// Name of the control replica that leads; empty if none does.
  std::string leader();

  /// Starts that the upstreams have logged, by "job task".
  std::map<std::string, int> starts() const;
  /// Tasks that were started more than once.
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

/// Polls until \p Done; false after half a minute.
bool waitFor(const std::function<bool()> &Done);

/// A port of 127.0.0.1 that nothing listens on.
int freePort();

} // namespace yardwheel

#endif
