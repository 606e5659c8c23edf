//===- tests/system/platform_worker.h - A stand-in worker -------*- C++ -*-===//
///
/// \file
/// A worker of the users' machines, written from their pages for the tests: it
/// announces itself, starts and stops runs, gives leases by its own clock,
/// keeps the highest fencing token, tells ends in order until they are
/// acknowledged, and can leave orders unanswered and carry them out late.
///
/// A task's spec says how long it runs, in milliseconds.
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
  /// Where calls to it are to go, if not to where it listens.
  std::string Announced;
  /// Where its agent takes announcements.
  std::string Agent;
  std::string Pool = "pool";
  int CpuMilli = 4000;
  std::chrono::milliseconds HeartbeatEvery{300};
  std::chrono::milliseconds MaxLease{1000};
  /// Whether it says when its life began.
  bool SaysBorn = true;
};

class PlatformWorker final : public HttpHandler {
public:
  PlatformWorker(PlatformWorkerOptions Options, RunRecorder &Recorder);
  ~PlatformWorker() override;

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override;

  /// Every start from now on is left without a reply, and carried out after
  /// this.
  void delayStarts(std::chrono::milliseconds Delay);
  void setDraining() { this->Draining.store(true); }
  /// Ends this life and all that it holds, and begins another under the same id
  /// after \p Down, in which nothing is answered. Returns at once.
  void restart(std::chrono::milliseconds Down);
  std::uint64_t highestToken() const { return this->Token; }
  /// Runs that it has begun.
  int starts() const { return this->Starts.load(); }
  std::size_t running() const;

private:
  using Clock = std::chrono::steady_clock;
  struct Run {
    std::uint64_t Number = 0;
    Clock::time_point EndsAt;
    int CpuMilli = 0;
  };
  struct Waiting {
    std::shared_ptr<HttpReply> Reply;
    Clock::time_point Until;
  };
  struct Late {
    nlohmann::json Body;
    Clock::time_point At;
  };

  /// \returns why a call was refused, or nothing.
  std::string start(const nlohmann::json &Body);
  std::string stop(const nlohmann::json &Body);
  bool checkToken(const nlohmann::json &Body);
  void extendLease(const nlohmann::json &Body);
  /// Ends the runs whose time is over, at the times at which they end however
  /// late that is seen to.
  void settle(Clock::time_point Now);
  void end(const std::string &Task, const char *How, Clock::time_point At);
  void reply(const std::shared_ptr<HttpReply> &Reply,
             const std::string &Refusal) const;
  void answerHold(const std::shared_ptr<HttpReply> &Reply) const;
  std::int64_t clockMs() const;
  bool isDown() const { return Clock::now() < this->DownUntil; }
  /// Names the present life in what it says of itself.
  void addBorn(nlohmann::json &Body) const;
  void tick();
  void announce();

  PlatformWorkerOptions Options;
  RunRecorder &Recorder;
  Clock::time_point Begun = Clock::now() - std::chrono::seconds(100);
  mutable std::mutex Mutex;
  std::map<std::string, Run> Runs;
  std::map<std::string, std::uint64_t> LastRuns;
  std::vector<nlohmann::json> Ends;
  std::uint64_t LastEnd = 0;
  std::int64_t LeaseUntil = 0;
  std::uint64_t Token = 0;
  std::atomic<int> Starts{0};
  std::deque<Waiting> Holds;
  std::deque<Late> LateStarts;
  std::chrono::milliseconds Delay{0};
  Clock::time_point DownUntil{};
  std::int64_t Born = 0;
  std::atomic<bool> Draining{false};
  /// Of the last announcement.
  std::uint64_t Sequence = 0;
  std::atomic<bool> Stopping{false};
  std::thread Ticker;
  std::thread Announcer;
  std::unique_ptr<HttpServer> Server;
};

} // namespace yardwheel

#endif
