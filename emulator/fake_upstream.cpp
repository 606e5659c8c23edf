#include "emulator/fake_upstream.h"

#include "core/error.h"

#include <charconv>
#include <fmt/format.h>
#include <sstream>

namespace yardwheel {

namespace {

constexpr std::uint32_t WholePercent = 100;
constexpr std::string_view SleepMark = "sleep=";

} // namespace

FakeUpstream::FakeUpstream(FakeUpstreamOptions Options)
    : Options(std::move(Options)), Random(this->Options.Seed) {
  if (!this->Options.StartLog.empty()) {
    this->StartLog = std::fopen(this->Options.StartLog.c_str(), "a");
    if (this->StartLog == nullptr)
      throw Error("fake upstream", this->Options.StartLog, "cannot be opened");
  }
  this->Thread = std::thread([this] { this->run(); });
}

FakeUpstream::~FakeUpstream() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Wake.notify_one();
  this->Thread.join();
  if (this->StartLog != nullptr)
    std::fclose(this->StartLog);
}

FakeUpstream::Plan FakeUpstream::planFor(const std::string &Payload) {
  Plan Result;
  std::uniform_int_distribution<std::int64_t> Spread(
      this->Options.ShortestService.count(),
      this->Options.LongestService.count());
  Result.Service = std::chrono::milliseconds(Spread(this->Random));
  if (this->Random() % WholePercent < this->Options.StragglerPercent)
    Result.Service *= this->Options.StragglerFactor;
  Result.Fails = this->Random() % WholePercent < this->Options.FailPercent;
  std::istringstream Words(Payload);
  std::string Word;
  while (Words >> Word) {
    if (Word.starts_with(SleepMark)) {
      std::int64_t Millis = 0;
      std::from_chars(Word.data() + SleepMark.size(), Word.data() + Word.size(),
                      Millis);
      Result.Service = std::chrono::milliseconds(Millis);
    } else if (Word == "fail") {
      Result.Fails = true;
    } else {
      Result.Answer += (Result.Answer.empty() ? "" : " ") + Word;
    }
  }
  return Result;
}

void FakeUpstream::handle(const HttpRequest &Request,
                          std::shared_ptr<HttpReply> Reply) {
  std::lock_guard Lock(this->Mutex);
  if (this->StartLog != nullptr) {
    std::fprintf(this->StartLog, "%s %s %s\n", Request.Job.c_str(),
                 Request.Task.c_str(), this->Options.Name.c_str());
    std::fflush(this->StartLog);
  }
  Plan Next = this->planFor(Request.Body);
  Pending Item;
  Item.Reply = std::move(Reply);
  Item.Answer.ContentType = "text/plain";
  Item.Answer.Body = Next.Answer;
  if (Next.Fails)
    Item.Answer.Status = HttpStatus::Unavailable;
  this->Due.emplace(std::chrono::steady_clock::now() + Next.Service,
                    std::move(Item));
  this->Wake.notify_one();
}

void FakeUpstream::run() {
  std::unique_lock Lock(this->Mutex);
  while (!this->Stopping) {
    if (this->Due.empty()) {
      this->Wake.wait(Lock);
      continue;
    }
    auto First = this->Due.begin();
    if (std::chrono::steady_clock::now() < First->first) {
      this->Wake.wait_until(Lock, First->first);
      continue;
    }
    Pending Ended = std::move(First->second);
    this->Due.erase(First);
    Lock.unlock();
    Ended.Reply->send(Ended.Answer);
    Lock.lock();
  }
}

} // namespace yardwheel
