//===- review/second/small_deployment.h - A small deployment ----*- C++ -*-===//
///
/// \file
/// Starts 3 control replicas, 2 entries and 2 or more agents with the commands
/// of the deploy file, on loopback and the real clock, with the bounds of a
/// small deployment, and a stand-in for the worker beside each agent. Writes
/// down what was sent, answered and run.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_REVIEW_SECOND_SMALL_DEPLOYMENT_H
#define YARDWHEEL_REVIEW_SECOND_SMALL_DEPLOYMENT_H

#include "review/second/web_client.h"
#include "tests/system/platform_cluster.h"

#include <chrono>
#include <fstream>
#include <functional>
#include <mutex>
#include <string>

namespace yardwheel {

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CaseDidNotRun = 2;

/// Values of the users' sheets.
struct SheetBounds {
  std::chrono::milliseconds Cancel{3000};
  std::chrono::milliseconds Ack{4000};
  std::chrono::milliseconds Stop{50};
  std::chrono::milliseconds Retransmit{1300};
  std::chrono::milliseconds Evacuate{5000};
};

class SmallDeployment {
public:
  using Clock = std::chrono::steady_clock;

  /// \param Folder Where record.txt is written.
  explicit SmallDeployment(const std::string &Folder);

  /// Starts everything and waits until both entries use the first two workers.
  /// \returns whether they do within the timeout.
  bool start(int Sides = 2);
  /// Writes a line with the time since the start into the record.
  void note(const std::string &Line);
  /// Sends an order to the operator's API of a control replica (1 to 3) and
  /// writes it down. Follows a 307 twice.
  WebAnswer order(int Core, const std::string &Method, const std::string &Path,
                  const std::string &Body = "");
  /// Hands a best-effort job of one step in at an entry (1 or 2) and writes it
  /// down.
  WebAnswer submit(int Front, const std::string &Id, int Tasks,
                   std::chrono::milliseconds TaskTime,
                   std::chrono::milliseconds Deadline);
  /// Returns the request that hands such a job in.
  WebRequest handIn(int Front, const std::string &Id, int Tasks,
                    std::chrono::milliseconds TaskTime,
                    std::chrono::milliseconds Deadline) const;
  /// Sends a request for a job to an entry and writes it down.
  WebAnswer ask(int Front, const std::string &Method, const std::string &Id);
  /// Writes down all runs of a job.
  void noteRuns(const std::string &Id);
  /// Returns the number of runs of the job that are alive at a time.
  int aliveAt(const std::string &Id, Clock::time_point At) const;
  /// Returns the number of starts of the job after a time.
  int startsAfter(const std::string &Id, Clock::time_point At) const;
  /// Returns the index of the control replica that leads; 0 if none does.
  int leader();
  /// Starts a control replica. \param Bootstrap Whether the whole system starts
  /// for the first time.
  void startCore(int Core, bool Bootstrap);
  /// Kills a control replica, as a loss of power or of the machine does.
  void killCore(int Core);
  /// Removes what is on the disk of a control replica that does not run.
  void wipeCore(int Core);

  /// Returns a configuration with the one queue that jobs are handed in at.
  std::string config(std::uint64_t Version) const;
  PlatformCluster &cluster() { return this->Cluster; }
  const SheetBounds &bounds() const { return this->Bounds; }
  /// Whether the disruption is played: TROUBLE is not 0.
  bool hasTrouble() const { return this->Trouble; }

private:
  void launch(const std::string &Name, int Host, const char *Serves,
              bool Bootstrap);
  WebRequest atFront(int Front, const std::string &Id) const;
  std::string timeText(Clock::time_point At) const;

  Clock::time_point Began = Clock::now();
  std::mutex Mutex;
  std::ofstream Record;
  bool Trouble = true;
  SheetBounds Bounds;
  PlatformCluster Cluster;
};

} // namespace yardwheel

#endif
