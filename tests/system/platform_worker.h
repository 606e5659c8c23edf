//===- tests/system/platform_worker.h - A simulated worker ------*- C++ -*-===//
///
/// \file
/// Simulates a worker of the users' machines according to their documentation.
/// It announces itself, starts and stops runs, grants leases by its own clock,
/// keeps the highest fencing token, and reports ends in order until they are
/// acknowledged. It can also leave start requests unanswered and execute them
/// late.
///
/// A task's spec is its duration in milliseconds, and the kind of worker that
/// it requires, if it requires one.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_PLATFORM_WORKER_H
#define YARDWHEEL_TESTS_SYSTEM_PLATFORM_WORKER_H

#include "http/http_client.h"
#include "http/http_server.h"
#include "tests/system/run_recorder.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace yardwheel {

struct PlatformWorkerOptions {
  std::string Id;
  std::string Listen;
  /// Address that it announces for calls, if it differs from Listen.
  std::string Announced;
  /// Address at which its agent accepts announcements.
  std::string Agent;
  std::string Pool = "pool";
  /// The label that tells its kind.
  std::string Kind = "a";
  int CpuMilli = 4000;
  std::chrono::milliseconds HeartbeatInterval{300};
  std::chrono::milliseconds MaxLease{1000};
  /// Whether announcements and hold replies contain the time of its last start.
  bool AnnouncesBorn = true;
};

class PlatformWorker final : public HttpHandler {
public:
  PlatformWorker(PlatformWorkerOptions Options, RunRecorder &Recorder);
  ~PlatformWorker() override;

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override;

  /// Leaves all further start requests without a reply and executes them after
  /// \p Delay.
  void delayStarts(std::chrono::milliseconds Delay);
  void setDraining() { this->Draining.store(true); }
  /// Restarts under the same id with all state lost. No request is answered for
  /// \p Down. Returns immediately.
  void restart(std::chrono::milliseconds Down);
  std::uint64_t highestToken() const { return this->Token; }
  /// Returns the number of runs started.
  int starts() const { return this->Starts.load(); }
  std::size_t running() const;

private:
  using Clock = std::chrono::steady_clock;
  struct Run {
    std::uint64_t Number = 0;
    Clock::time_point EndsAt;
    int CpuMilli = 0;
  };
  struct PendingHold {
    std::shared_ptr<HttpReply> Reply;
    Clock::time_point Until;
  };
  struct LateStart {
    nlohmann::json Body;
    Clock::time_point At;
  };

  /// \returns the reason if the call was refused, else an empty string.
  std::string start(const nlohmann::json &Body);
  std::string stop(const nlohmann::json &Body);
  bool checkToken(const nlohmann::json &Body);
  void extendLease(const nlohmann::json &Body);
  /// Ends the runs whose duration or lease is over by \p Now. Each is recorded
  /// with the time at which it was over, which may be earlier.
  void endExpiredRuns(Clock::time_point Now);
  void end(const std::string &Task, const char *How, Clock::time_point At);
  void reply(const std::shared_ptr<HttpReply> &Reply,
             const std::string &Refusal) const;
  void answerHold(const std::shared_ptr<HttpReply> &Reply) const;
  std::int64_t clockMs() const;
  bool isDown() const { return Clock::now() < this->DownUntil; }
  /// Adds the time of the last start, which identifies the incarnation.
  void addBorn(nlohmann::json &Body) const;
  void tick();
  void announce();

  PlatformWorkerOptions Options;
  RunRecorder &Recorder;
  Clock::time_point ClockStart = Clock::now() - std::chrono::seconds(100);
  mutable std::mutex Mutex;
  std::map<std::string, Run> Runs;
  std::map<std::string, std::uint64_t> LastRuns;
  std::vector<nlohmann::json> Ends;
  std::uint64_t LastEnd = 0;
  std::int64_t LeaseUntil = 0;
  std::uint64_t Token = 0;
  std::atomic<int> Starts{0};
  std::deque<PendingHold> Holds;
  std::deque<LateStart> LateStarts;
  std::chrono::milliseconds Delay{0};
  Clock::time_point DownUntil{};
  std::int64_t Born = 0;
  std::atomic<bool> Draining{false};
  /// Sequence number of the last announcement.
  std::uint64_t Sequence = 0;
  std::atomic<bool> Stopping{false};
  std::thread Ticker;
  std::thread Announcer;
  std::unique_ptr<HttpServer> Server;
};

} // namespace yardwheel

#endif
