//===- review/support/fleet.h - The project's processes ---------*- C++ -*-===//
///
/// \file
/// Stands in for the platform: starts the project's processes with the commands
/// of the deploy file and settings in the platform's format, on loopback
/// addresses, and sends them signals. The destructor ends all of them.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_REVIEW_SUPPORT_FLEET_H
#define YARDWHEEL_REVIEW_SUPPORT_FLEET_H

#include "review/support/record.h"

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace yardwheel::review {

/// The services of a machine, with the port offset of each.
enum class Port { Front = 1, Ready = 2, Control = 3, App = 4, Links = 10 };

struct MachineOptions {
  std::string Name;
  /// "front", "side" or "core".
  std::string Class;
  /// The last part of its address.
  int Host = 0;
  std::string Zone = "hall-a";
  /// Hosts of the control replicas in the settings.
  std::vector<int> Seeds;
  bool Bootstrap = true;
};

class Fleet {
public:
  explicit Fleet(Record &Seen);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  std::string address(int Host, Port Service) const;
  /// Starts a machine's process, with the disk it has had before, if any.
  void start(const MachineOptions &Machine);
  /// Sends SIGKILL and waits for the end of the process.
  void kill(const std::string &Name);
  /// Sends SIGTERM, after graceS SIGKILL, and waits for the end.
  void terminate(const std::string &Name);
  /// Deletes the disk of a machine whose process has ended.
  void wipeDisk(const std::string &Name);

private:
  std::string settings(const MachineOptions &Machine) const;

  Record &Seen;
  std::string Folder;
  std::string Net;
  int FirstPort = 0;
  /// The words of the command of each role, by class of machine.
  std::map<std::string, std::vector<std::string>> Commands;
  std::map<std::string, pid_t> Running;
};

/// The route of all jobs in these cases.
constexpr const char *RouteHost = "nony24.example";
constexpr const char *RoutePrefix = "/lohu930/";
constexpr const char *ServiceName = "huvo11a";

/// Returns a configuration with one route.
std::string describeConfig(int Version);

/// Sends a configuration as the operator does, to one of \p Hosts after the
/// other. \returns the host that has acknowledged it; 0 if none has in time.
int replaceConfig(const Fleet &Machines, const std::vector<int> &Hosts,
                  int Version, std::chrono::milliseconds Timeout, Record &Seen);

/// Hands in short jobs at an entry until one has completed.
/// \returns whether one has in time.
bool awaitService(const Fleet &Machines, int Front, Record &Seen);

/// Returns the body of a best-effort job of equal tasks, whose spec names its
/// duration and its cpu to the minion.
std::string describeJob(int Tasks, std::chrono::milliseconds Duration,
                        int CpuMilli, const std::string &RequiredLabel = "");

} // namespace yardwheel::review

#endif
