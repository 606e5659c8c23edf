//===- emulator/fake_upstream.h - A stand-in for a back end -------*- C++
//-*-===//
///
/// \file
/// An HTTP server with set service times, stragglers and failures. It writes
/// a line to a file for each task that starts, before the task runs, so that
/// a double start is seen from outside.
///
/// A task's payload may set its own behaviour: "sleep=MS", "fail" or "echo",
/// separated by spaces; the rest of the payload is the answer.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_FAKE_UPSTREAM_H
#define YARDWHEEL_EMULATOR_FAKE_UPSTREAM_H

#include "http/http_server.h"

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace yardwheel {

struct FakeUpstreamOptions {
  std::string Name;
  std::string Listen;
  /// Tasks take a time between these, unless their payload says otherwise.
  std::chrono::milliseconds ShortestService{50};
  std::chrono::milliseconds LongestService{50};
  std::uint32_t StragglerPercent = 0;
  std::uint32_t StragglerFactor = 10;
  std::uint32_t FailPercent = 0;
  /// Where each start is written; empty writes nothing.
  std::string StartLog;
  std::uint64_t Seed = 1;
};

class FakeUpstream final : public HttpHandler {
public:
  explicit FakeUpstream(FakeUpstreamOptions Options);
  ~FakeUpstream() override;

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override;

private:
  struct Pending {
    std::shared_ptr<HttpReply> Reply;
    HttpAnswer Answer;
  };
  struct Plan {
    std::chrono::milliseconds Service{};
    bool Fails = false;
    std::string Answer;
  };

  Plan planFor(const std::string &Payload);
  void run();

  FakeUpstreamOptions Options;
  std::FILE *StartLog = nullptr;
  std::mutex Mutex;
  std::condition_variable Wake;
  std::mt19937_64 Random;
  std::multimap<std::chrono::steady_clock::time_point, Pending> Due;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace yardwheel

#endif
