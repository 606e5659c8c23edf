//===- review/third/small_deployment.h - A small deployment -----*- C++ -*-===//
///
/// \file
/// Starts the daemon in its roles with the commands of the deploy file and with
/// settings like those of a small deployment: three control replicas, two
/// entries, and agents with simulated workers beside them. Calls entries as a
/// client does, and writes down what was sent, answered and run.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_REVIEW_THIRD_SMALL_DEPLOYMENT_H
#define YARDWHEEL_REVIEW_THIRD_SMALL_DEPLOYMENT_H

#include "tests/system/platform_cluster.h"

#include <fstream>
#include <mutex>

namespace yardwheel::review {

/// Writes lines with the time since its construction.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}
  void add(const std::string &Line);

private:
  std::mutex Mutex;
  std::ofstream File;
  std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
};

class SmallDeployment {
public:
  SmallDeployment(int Entries, int Agents);
  /// Starts all processes, hands in the configuration, and waits until each
  /// entry is ready and runs jobs on every worker.
  /// \returns whether that happened in time.
  bool start();
  /// Calls an entry on a new connection.
  /// \param Deadline How long the client waits, which it states in the header.
  /// \param Queue Which of the queues, each of which has a host of its own, the
  /// call is for; the one with the entry's number if 0.
  HttpResult call(int Entry, const char *Method, const std::string &Id,
                  const std::string &Body, std::chrono::milliseconds Deadline,
                  int Queue = 0) const;
  /// Returns a best-effort job of one step.
  static std::string job(int Tasks, std::chrono::milliseconds Each);
  PlatformCluster &cluster() { return this->Cluster; }

private:
  nlohmann::json settings(const std::string &Name, int Host,
                          const char *Serves);
  void startNode(const std::string &Name, int Host, const char *Serves);
  nlohmann::json config() const;
  bool isReady(int Entry) const;
  bool usesAllWorkers(int Entry);

  int Entries;
  int Agents;
  int Probes = 0;
  PlatformCluster Cluster;
};

} // namespace yardwheel::review

#endif
