//===- Reset of a refused caller ------------------------------------------=//
//
// A refused caller that keeps sending without limit is reset and must not hang.
//
//===----------------------------------------------------------------------===//

#include "http/http_server.h"
#include "tests/support/http_caller.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;

namespace {

class SilentHandler final : public HttpHandler {
public:
  void handle(const HttpRequest &, std::shared_ptr<HttpReply>) override {}
};

} // namespace

TEST_GROUP(HttpCutOffTest){};

TEST(HttpCutOffTest, ARefusedCallerIsResetInTimeOnABusyHost) {
  // A little longer than a refused caller's input is read.
  constexpr std::chrono::seconds InTime{7};
  constexpr std::size_t Part = 1000000;
  constexpr int MaxParts = 100;
  constexpr int Busy = 8;
  std::atomic<bool> Done{false};
  std::vector<std::thread> Others;
  Others.reserve(Busy);
  for (int I = 0; I < Busy; ++I)
    Others.emplace_back([&Done] {
      while (!Done.load()) {
      }
    });
  std::uint16_t Port = freeHttpPort();
  HttpServer Server({.Listen = "127.0.0.1:" + std::to_string(Port),
                     .Threads = 1,
                     .MaxBodyBytes = Part},
                    std::make_shared<SilentHandler>());
  Caller Client(Port);
  Client.connect();
  Client.send("POST /a HTTP/1.1\r\nContent-Length: 3000000\r\n\r\n");
  auto Began = std::chrono::steady_clock::now();
  for (int I = 0; I < MaxParts && Client.send(std::string(Part, 'x'));)
    ++I;
  auto Took = std::chrono::steady_clock::now() - Began;
  Done.store(true);
  for (std::thread &Other : Others)
    Other.join();
  CHECK(Took < InTime);
}
