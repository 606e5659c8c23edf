//===- review/support/minion.h - A minion -----------------------*- C++ -*-===//
///
/// \file
/// Stands in for a minion as the platform's pages describe it: announces
/// itself to the agent on its machine, starts and stops runs, grants leases by
/// its own clock, keeps the highest fencing token, rejects what does not fit,
/// and lists ends until they are acknowledged. The destructor is its crash.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_REVIEW_SUPPORT_MINION_H
#define YARDWHEEL_REVIEW_SUPPORT_MINION_H

#include "http/http_server.h"
#include "review/support/record.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace yardwheel::review {

struct MinionOptions {
  std::string Id;
  std::string Kind;
  std::string Listen;
  /// Where its agent takes heartbeats.
  std::string Agent;
  int CpuMilli = 16000;
};

class Minion final : public HttpHandler {
public:
  Minion(MinionOptions Options, Record &Seen);
  ~Minion() override;
  Minion(const Minion &) = delete;
  Minion &operator=(const Minion &) = delete;

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override;

  /// Returns the names of all tasks that were started here.
  std::vector<std::string> startedTasks() const;
  /// Returns the number of runs at work.
  std::size_t running() const;
  /// Returns how many runs of a job's tasks were at work after \p At: those
  /// that ended later, and those that are still at work.
  std::size_t runsAfter(const std::string &Job,
                        SteadyClock::time_point At) const;
  const std::string &kind() const { return this->Options.Kind; }

private:
  struct Run {
    std::uint64_t Number = 0;
    int CpuMilli = 0;
    SteadyClock::time_point EndsAt;
  };
  struct PendingHold {
    std::shared_ptr<HttpReply> Reply;
    SteadyClock::time_point Until;
  };

  std::string start(const nlohmann::json &Body);
  std::string stop(const nlohmann::json &Body);
  void hold(const nlohmann::json &Body,
            const std::shared_ptr<HttpReply> &Reply);
  bool checkToken(const nlohmann::json &Body);
  void extendLease(const nlohmann::json &Body);
  std::int64_t clockMs() const;
  void end(const std::string &Task, const char *How);
  void endExpired();
  void listRuns(const std::shared_ptr<HttpReply> &Reply) const;
  void announce();
  void tick();

  MinionOptions Options;
  Record &Seen;
  SteadyClock::time_point ClockStart =
      SteadyClock::now() - std::chrono::seconds(100);
  mutable std::mutex Mutex;
  std::map<std::string, Run> Runs;
  /// The highest run of each task that was stopped or has ended.
  std::map<std::string, std::uint64_t> EndedRuns;
  std::vector<nlohmann::json> Ends;
  std::uint64_t LastEnd = 0;
  std::uint64_t Token = 0;
  std::int64_t LeaseUntil = 0;
  std::vector<PendingHold> Holds;
  std::vector<std::string> Started;
  /// When each run has ended, by the name of its task.
  std::vector<std::pair<std::string, SteadyClock::time_point>> EndTimes;
  std::uint64_t Sequence = 0;
  std::atomic<bool> Stopping{false};
  std::unique_ptr<HttpServer> Server;
  std::thread Ticker;
  std::thread Announcer;
};

} // namespace yardwheel::review

#endif
