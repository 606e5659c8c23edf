#include "review/support/minion.h"

#include "review/support/fleet.h"
#include "review/support/http_call.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace yardwheel::review {

using nlohmann::json;

namespace {

constexpr const char *TargetHeader = "X-Yardwheel-Target-Instance";
constexpr std::chrono::milliseconds TickInterval{5};
constexpr std::chrono::milliseconds HeartbeatInterval{1500};
constexpr std::chrono::milliseconds MaxHold{1000};

} // namespace

Minion::Minion(MinionOptions Given, Record &Seen)
    : Options(std::move(Given)), Seen(Seen) {
  HttpServerOptions Serving;
  Serving.Listen = this->Options.Listen;
  Serving.Threads = 1;
  Serving.Headers = {TargetHeader};
  // This object outlives the server, which therefore does not own it.
  this->Server = std::make_unique<HttpServer>(
      Serving, std::shared_ptr<HttpHandler>(this, [](HttpHandler *) {}));
  this->Ticker = std::thread([this] { this->tick(); });
  this->Announcer = std::thread([this] { this->announce(); });
  this->Seen.add(fmt::format("minion {} of kind {} started", this->Options.Id,
                             this->Options.Kind));
}

Minion::~Minion() {
  this->Stopping.store(true);
  this->Ticker.join();
  this->Announcer.join();
  this->Server->stop();
  this->Seen.add(fmt::format("minion {} is gone", this->Options.Id));
}

std::int64_t Minion::clockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             SteadyClock::now() - this->ClockStart)
      .count();
}

void Minion::announce() {
  while (!this->Stopping.load()) {
    json Body = {
        {"service", ServiceName},
        {"address", this->Options.Listen},
        {"zone", "hall-a"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldLeftMs", 0},
        {"capacity",
         {{"cpu", this->Options.CpuMilli}, {"memMb", 32768}, {"gpus", 0}}},
        {"labels", {this->Options.Kind, "r1-3"}},
        {"clockMs", this->clockMs()},
        {"sequence", ++this->Sequence}};
    callHttp(this->Options.Agent, "POST",
             fmt::format("/instances/{}/heartbeat", this->Options.Id),
             Body.dump(), std::chrono::seconds(1));
    auto Next = SteadyClock::now() + HeartbeatInterval;
    while (!this->Stopping.load() && SteadyClock::now() < Next)
      std::this_thread::sleep_for(TickInterval);
  }
}

void Minion::tick() {
  while (!this->Stopping.load()) {
    {
      std::scoped_lock Lock(this->Mutex);
      this->endExpired();
      auto Now = SteadyClock::now();
      std::erase_if(this->Holds, [&](const PendingHold &Open) {
        bool Due = !this->Ends.empty() || Now >= Open.Until;
        if (Due)
          this->listRuns(Open.Reply);
        return Due;
      });
    }
    std::this_thread::sleep_for(TickInterval);
  }
}

bool Minion::checkToken(const json &Body) {
  std::uint64_t Given = Body.value("fencingToken", std::uint64_t{0});
  if (Given < this->Token)
    return false;
  this->Token = Given;
  return true;
}

void Minion::extendLease(const json &Body) {
  std::int64_t Asked = Body.value("deadlineMs", std::int64_t{0});
  std::int64_t Longest = this->clockMs() + MaxHold.count();
  this->LeaseUntil = std::max(this->LeaseUntil, std::min(Asked, Longest));
}

std::string Minion::start(const json &Body) {
  if (!this->checkToken(Body))
    return "fence";
  std::string Task = Body.at("task");
  auto Number = Body.at("run").get<std::uint64_t>();
  auto Known = this->Runs.find(Task);
  if (Known != this->Runs.end() && Known->second.Number == Number) {
    this->extendLease(Body);
    return "";
  }
  if (Body.at("deadlineMs").get<std::int64_t>() <= this->clockMs())
    return "late";
  this->extendLease(Body);
  if (Known != this->Runs.end() || Number <= this->EndedRuns[Task])
    return "old";
  std::istringstream Spec(Body.at("spec").get<std::string>());
  int Millis = 0;
  int CpuMilli = 0;
  Spec >> Millis >> CpuMilli;
  int Used = CpuMilli;
  for (const auto &[Name, Other] : this->Runs)
    Used += Other.CpuMilli;
  if (Used > this->Options.CpuMilli)
    return "room";
  this->Runs[Task] = {Number, CpuMilli,
                      SteadyClock::now() + std::chrono::milliseconds(Millis)};
  this->Started.push_back(Task);
  this->Seen.add(fmt::format("run {} of {} started on {} of kind {}", Number,
                             Task, this->Options.Id, this->Options.Kind));
  return "";
}

std::string Minion::stop(const json &Body) {
  if (!this->checkToken(Body))
    return "fence";
  std::string Task = Body.at("task");
  auto Number = Body.at("run").get<std::uint64_t>();
  this->EndedRuns[Task] = std::max(this->EndedRuns[Task], Number);
  auto Known = this->Runs.find(Task);
  if (Known != this->Runs.end() && Known->second.Number == Number)
    this->end(Task, "stopped");
  return "";
}

void Minion::end(const std::string &Task, const char *How) {
  std::uint64_t Number = this->Runs.at(Task).Number;
  this->EndedRuns[Task] = std::max(this->EndedRuns[Task], Number);
  this->Runs.erase(Task);
  this->EndTimes.emplace_back(Task, SteadyClock::now());
  this->Ends.push_back(json::array({++this->LastEnd, Task, Number, How, ""}));
  this->Seen.add(fmt::format("run {} of {} ended on {}: {}", Number, Task,
                             this->Options.Id, How));
}

void Minion::endExpired() {
  bool Lapsed = this->clockMs() >= this->LeaseUntil;
  std::vector<std::pair<std::string, const char *>> Over;
  for (const auto &[Task, Known] : this->Runs)
    if (SteadyClock::now() >= Known.EndsAt)
      Over.emplace_back(Task, "done");
    else if (Lapsed)
      Over.emplace_back(Task, "lapsed");
  for (const auto &[Task, How] : Over)
    this->end(Task, How);
}

void Minion::listRuns(const std::shared_ptr<HttpReply> &Reply) const {
  json Running = json::array();
  for (const auto &[Task, Known] : this->Runs)
    Running.push_back(json::array({Task, Known.Number, "", 100, 0}));
  HttpAnswer Answer;
  Answer.Body = json{
      {"clockMs", this->clockMs()},
      {"running", Running},
      {"ended",
       this->Ends}}.dump();
  Reply->send(Answer);
}

void Minion::hold(const json &Body, const std::shared_ptr<HttpReply> &Reply) {
  this->extendLease(Body);
  std::uint64_t Seen = Body.value("ackSeq", std::uint64_t{0});
  std::erase_if(this->Ends, [&](const json &Row) { return Row[0] <= Seen; });
  std::chrono::milliseconds Wait(Body.value("waitMs", std::int64_t{0}));
  if (this->Ends.empty() && Wait.count() > 0)
    this->Holds.push_back({Reply, SteadyClock::now() + Wait});
  else
    this->listRuns(Reply);
}

void Minion::handle(const HttpRequest &Request,
                    std::shared_ptr<HttpReply> Reply) {
  HttpAnswer Answer;
  auto Target = Request.Headers.find(TargetHeader);
  if (Target != Request.Headers.end() && Target->second != this->Options.Id) {
    Answer.Status = HttpStatus::Misdirected;
    Answer.Body = "{}";
    Reply->send(Answer);
    return;
  }
  json Body = json::parse(Request.Body);
  std::scoped_lock Lock(this->Mutex);
  this->endExpired();
  std::string Refusal;
  if (Request.Resource == "/run-start") {
    Refusal = this->start(Body);
  } else if (Request.Resource == "/run-stop") {
    Refusal = this->stop(Body);
  } else if (Request.Resource != "/hold") {
    Answer.Status = HttpStatus::NotFound;
  } else if (this->checkToken(Body)) {
    this->hold(Body, Reply);
    return;
  } else {
    Refusal = "fence";
  }
  json Text = {{"clockMs", this->clockMs()}};
  if (!Refusal.empty()) {
    Answer.Status = HttpStatus::Conflict;
    Text["reason"] = Refusal;
  }
  Answer.Body = Text.dump();
  Reply->send(Answer);
}

std::vector<std::string> Minion::startedTasks() const {
  std::scoped_lock Lock(this->Mutex);
  return this->Started;
}

std::size_t Minion::running() const {
  std::scoped_lock Lock(this->Mutex);
  return this->Runs.size();
}

std::size_t Minion::runsAfter(const std::string &Job,
                              SteadyClock::time_point At) const {
  std::scoped_lock Lock(this->Mutex);
  auto Later = std::ranges::count_if(this->EndTimes, [&](const auto &End) {
    return End.first.starts_with(Job) && End.second > At;
  });
  auto Present = std::ranges::count_if(this->Runs, [&](const auto &Item) {
    return Item.first.starts_with(Job) && SteadyClock::now() > At;
  });
  return static_cast<std::size_t>(Later + Present);
}

} // namespace yardwheel::review
