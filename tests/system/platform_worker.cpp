#include "tests/system/platform_worker.h"

#include <algorithm>
#include <fmt/format.h>
#include <string_view>

namespace yardwheel {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds TickInterval{5};
constexpr std::chrono::milliseconds CallTimeout{1000};
/// Names the worker instance that a call is addressed to.
constexpr const char *TargetInstanceHeader = "X-Yardwheel-Target-Instance";

} // namespace

PlatformWorker::PlatformWorker(PlatformWorkerOptions Given,
                               RunRecorder &Recorder)
    : Options(std::move(Given)), Recorder(Recorder) {
  HttpServerOptions Serving;
  Serving.Listen = this->Options.Listen;
  Serving.Threads = 1;
  Serving.Headers = {TargetInstanceHeader};
  // This object owns the server and outlives it, so the handler is not deleted.
  std::shared_ptr<HttpHandler> Handler(this, [](HttpHandler *) {});
  this->Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
  this->Server = std::make_unique<HttpServer>(Serving, Handler);
  this->Ticker = std::thread([this] {
    while (!this->Stopping.load()) {
      this->tick();
      std::this_thread::sleep_for(TickInterval);
    }
  });
  this->Announcer = std::thread([this] {
    while (!this->Stopping.load()) {
      this->announce();
      std::this_thread::sleep_for(this->Options.HeartbeatInterval);
    }
  });
}

PlatformWorker::~PlatformWorker() {
  this->Stopping.store(true);
  this->Ticker.join();
  this->Announcer.join();
  this->Server->stop();
  // Runs in progress end with the worker.
  std::lock_guard Lock(this->Mutex);
  auto Now = Clock::now();
  this->endExpiredRuns(Now);
  for (const auto &[Task, Known] : this->Runs)
    this->Recorder.onEnd(Task, this->Options.Id, Now, false);
}

void PlatformWorker::restart(std::chrono::milliseconds Down) {
  std::lock_guard Lock(this->Mutex);
  auto Now = Clock::now();
  this->endExpiredRuns(Now);
  for (const auto &[Task, Known] : this->Runs)
    this->Recorder.onEnd(Task, this->Options.Id, Now, false);
  this->Runs.clear();
  this->LastRuns.clear();
  this->Ends.clear();
  this->LastEnd = 0;
  this->LeaseUntil = 0;
  this->Token = 0;
  this->Sequence = 0;
  this->Holds.clear();
  this->LateStarts.clear();
  this->DownUntil = Now + Down;
  this->ClockStart = this->DownUntil - std::chrono::seconds(1);
  this->Born += Down.count() + 1;
}

void PlatformWorker::addBorn(json &Body) const {
  if (this->Options.AnnouncesBorn)
    Body["born"] = this->Born;
}

void PlatformWorker::delayStarts(std::chrono::milliseconds Delay) {
  std::lock_guard Lock(this->Mutex);
  this->Delay = Delay;
}

std::int64_t PlatformWorker::clockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               this->ClockStart)
      .count();
}

void PlatformWorker::announce() {
  std::unique_lock Lock(this->Mutex);
  if (this->isDown())
    return;
  json Body = {
      {"service", this->Options.Pool},
      {"address", this->Options.Announced.empty() ? this->Options.Listen
                                                  : this->Options.Announced},
      {"zone", "a"},
      {"version", "v1"},
      {"slots", 8},
      {"coldLeftMs", 0},
      {"state", this->Draining.load() ? "draining" : "ready"},
      {"capacity",
       {{"cpu", this->Options.CpuMilli}, {"memMb", 1000}, {"gpus", 0}}},
      {"labels", {this->Options.Kind, "r1"}},
      {"clockMs", this->clockMs()},
      {"sequence", ++this->Sequence}};
  this->addBorn(Body);
  Lock.unlock();
  HttpClient Client(CallTimeout);
  Client.call("POST",
              fmt::format("http://{}/instances/{}/heartbeat",
                          this->Options.Agent, this->Options.Id),
              Body.dump());
}

bool PlatformWorker::checkToken(const json &Body) {
  std::uint64_t Given = Body.value("fencingToken", std::uint64_t{0});
  if (Given < this->Token)
    return false;
  this->Token = Given;
  return true;
}

void PlatformWorker::extendLease(const json &Body) {
  std::int64_t Longest = this->clockMs() + this->Options.MaxLease.count();
  std::int64_t Asked = Body.value("deadlineMs", std::int64_t{0});
  this->LeaseUntil = std::max(this->LeaseUntil, std::min(Asked, Longest));
}

std::string PlatformWorker::start(const json &Body) {
  if (!this->checkToken(Body))
    return "fence";
  std::string Task = Body.at("task");
  std::uint64_t Number = Body.at("run");
  auto Known = this->Runs.find(Task);
  if (Known != this->Runs.end() && Known->second.Number == Number)
    return "";
  if (Body.at("deadlineMs").get<std::int64_t>() <= this->clockMs())
    return "late";
  this->extendLease(Body);
  if (Number <= this->LastRuns[Task])
    return "old";
  this->LastRuns[Task] = Number;
  std::string Spec = Body.at("spec");
  std::size_t End = 0;
  auto Length = std::chrono::milliseconds(std::stoi(Spec, &End));
  this->Runs[Task] = {Number, Clock::now() + Length, 0};
  this->Recorder.onStart(Task, this->Options.Id);
  if (End < Spec.size() && Spec.substr(End + 1) != this->Options.Kind)
    this->Recorder.onUnsuitableStart(Task, this->Options.Id);
  ++this->Starts;
  return "";
}

std::string PlatformWorker::stop(const json &Body) {
  if (!this->checkToken(Body))
    return "fence";
  std::string Task = Body.at("task");
  std::uint64_t Number = Body.at("run");
  this->LastRuns[Task] = std::max(this->LastRuns[Task], Number);
  auto Known = this->Runs.find(Task);
  if (Known != this->Runs.end() && Known->second.Number == Number)
    this->end(Task, "stopped", Clock::now());
  return "";
}

void PlatformWorker::endExpiredRuns(Clock::time_point Now) {
  auto Lapse = this->ClockStart + std::chrono::milliseconds(this->LeaseUntil);
  std::vector<std::string> Expired;
  for (const auto &[Task, Known] : this->Runs)
    if (Now >= std::min(Known.EndsAt, Lapse))
      Expired.push_back(Task);
  for (const std::string &Task : Expired) {
    auto EndsAt = this->Runs.at(Task).EndsAt;
    bool Done = EndsAt < Lapse;
    this->end(Task, Done ? "done" : "lapsed", Done ? EndsAt : Lapse);
  }
}

void PlatformWorker::end(const std::string &Task, const char *How,
                         Clock::time_point At) {
  std::uint64_t Number = this->Runs.at(Task).Number;
  this->Ends.push_back(json::array({++this->LastEnd, Task, Number, How, ""}));
  this->Runs.erase(Task);
  this->Recorder.onEnd(Task, this->Options.Id, At,
                       std::string_view(How) == "done");
  std::deque<PendingHold> Pending;
  std::swap(Pending, this->Holds);
  for (const PendingHold &Open : Pending)
    this->answerHold(Open.Reply);
}

void PlatformWorker::reply(const std::shared_ptr<HttpReply> &Reply,
                           const std::string &Refusal) const {
  json Body = {{"clockMs", this->clockMs()}};
  HttpAnswer Answer;
  if (!Refusal.empty()) {
    Body["reason"] = Refusal;
    Answer.Status = HttpStatus::Conflict;
  }
  Answer.Body = Body.dump();
  Reply->send(Answer);
}

void PlatformWorker::answerHold(const std::shared_ptr<HttpReply> &Reply) const {
  json Running = json::array();
  for (const auto &[Task, Known] : this->Runs)
    Running.push_back(json::array({Task, Known.Number, "", 0}));
  json Body = {{"clockMs", this->clockMs()},
               {"running", Running},
               {"ended", this->Ends}};
  this->addBorn(Body);
  HttpAnswer Answer;
  Answer.Body = Body.dump();
  Reply->send(Answer);
}

void PlatformWorker::handle(const HttpRequest &Request,
                            std::shared_ptr<HttpReply> Reply) {
  auto Target = Request.Headers.find(TargetInstanceHeader);
  if (Target != Request.Headers.end() && Target->second != this->Options.Id) {
    HttpAnswer Answer;
    Answer.Status = HttpStatus::Misdirected;
    Answer.Body = "{}";
    Reply->send(Answer);
    return;
  }
  json Body = json::parse(Request.Body);
  std::lock_guard Lock(this->Mutex);
  if (this->isDown())
    return;
  this->endExpiredRuns(Clock::now());
  if (Request.Resource == "/run-start") {
    if (this->Delay.count() > 0)
      this->LateStarts.push_back({Body, Clock::now() + this->Delay});
    else
      this->reply(Reply, this->start(Body));
  } else if (Request.Resource == "/run-stop") {
    this->reply(Reply, this->stop(Body));
  } else if (!this->checkToken(Body)) {
    this->reply(Reply, "fence");
  } else {
    this->extendLease(Body);
    std::uint64_t Seen = Body.value("ackSeq", std::uint64_t{0});
    std::erase_if(this->Ends, [&](const json &Row) { return Row[0] <= Seen; });
    auto Wait =
        std::chrono::milliseconds(Body.value("waitMs", std::int64_t{0}));
    if (this->Ends.empty() && Wait.count() > 0)
      this->Holds.push_back({Reply, Clock::now() + Wait});
    else
      this->answerHold(Reply);
  }
}

void PlatformWorker::tick() {
  std::lock_guard Lock(this->Mutex);
  auto Now = Clock::now();
  this->endExpiredRuns(Now);
  while (!this->LateStarts.empty() && Now >= this->LateStarts.front().At) {
    json Body = this->LateStarts.front().Body;
    this->LateStarts.pop_front();
    this->start(Body);
  }
  while (!this->Holds.empty() && Now >= this->Holds.front().Until) {
    this->answerHold(this->Holds.front().Reply);
    this->Holds.pop_front();
  }
}

std::size_t PlatformWorker::running() const {
  std::lock_guard Lock(this->Mutex);
  return this->Runs.size();
}

} // namespace yardwheel
