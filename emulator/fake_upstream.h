//===- emulator/fake_upstream.h - Simulated upstream ------------*- C++ -*-===//
///
/// \file
/// An HTTP server with configured service times, stragglers and failures. It
/// writes a line to a file for each task before the task runs, so that an
/// observer can detect tasks that were started twice.
///
/// A task's payload can set its behaviour by words separated by spaces:
/// "sleep=MS" sets the service time and "fail" makes the task fail. All other
/// words are the answer.
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
  /// Range of the service times, unless a payload sets its own.
  std::chrono::milliseconds ShortestService{50};
  std::chrono::milliseconds LongestService{50};
  std::uint32_t StragglerPercent = 0;
  std::uint32_t StragglerFactor = 10;
  std::uint32_t FailPercent = 0;
  /// Path of the file with a line for each start; empty writes none.
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
