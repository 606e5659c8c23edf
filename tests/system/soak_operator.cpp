#include "tests/system/soak_operator.h"

#include <fmt/format.h>
#include <future>
#include <thread>

namespace yardwheel {

using nlohmann::json;

namespace {

using std::chrono::milliseconds;

/// An operator turns to the next replica after this.
constexpr milliseconds CallTimeout{1000};
constexpr milliseconds RetryAfter{100};
/// A read sent this long after an acknowledgement shows it: the platform's
/// bound of how soon a configuration applies.
constexpr milliseconds AppliesWithin{2000};
constexpr int Attempts = 8;
constexpr int MaxPauseMs = 1000;
constexpr int MaxStormPauseMs = 50;
/// Routes without callers in a storm.
constexpr int IdleRoutes = 40;
/// Half a minute at least.
constexpr int FinalReads = 300;

bool isRefusal(long Status) { return Status >= 400 && Status < 500; }

} // namespace

SoakOperator::SoakOperator(std::vector<std::string> Replicas, std::string Host,
                           std::string Prefix, std::uint64_t Seed, bool Storm,
                           SoakFindings &Findings)
    : Replicas(std::move(Replicas)), Host(std::move(Host)),
      Prefix(std::move(Prefix)), Random(Seed), Storm(Storm),
      Findings(Findings) {}

int SoakOperator::pick(int Low, int High) {
  return std::uniform_int_distribution<int>(Low, High)(this->Random);
}

std::size_t SoakOperator::anyReplica() {
  return static_cast<std::size_t>(
      this->pick(0, static_cast<int>(this->Replicas.size()) - 1));
}

std::uint64_t SoakOperator::nextVersion() {
  this->LastVersion += static_cast<std::uint64_t>(this->pick(1, 3));
  return this->LastVersion;
}

json SoakOperator::config(std::uint64_t Version) const {
  json Route = {{"name", "jobs"},
                {"host", this->Host},
                {"pathPrefix", this->Prefix},
                {"timeoutMs", 2000 + Version % 1000},
                {"sloMs", 60 + Version % 50},
                {"priority", 0},
                {"service", "pool"},
                {"maxAttempts", 3},
                {"stretch", 1.6}};
  json Routes = {Route};
  if (Version % 2 == 0) {
    Route["name"] = "other";
    Route["pathPrefix"] = "/other/";
    Routes.push_back(Route);
  }
  for (int I = 0; this->Storm && I < IdleRoutes; ++I) {
    Route["name"] = fmt::format("idle-{}", I);
    Route["pathPrefix"] = fmt::format("/idle-{}/", I);
    Routes.push_back(Route);
  }
  return {{"version", Version},
          {"routes", Routes},
          {"services", {{{"name", "pool"}}}}};
}

bool SoakOperator::sendOnce(HttpClient &Client, std::uint64_t Version,
                            std::size_t Replica) {
  long Status = Client
                    .call("POST",
                          fmt::format("http://{}/config/replace",
                                      this->Replicas[Replica]),
                          this->config(Version).dump())
                    .Status;
  this->Findings.note(fmt::format("configuration {} at replica {}: {}", Version,
                                  Replica + 1, Status));
  if (isRefusal(Status))
    this->Findings.add(fmt::format("valid configuration {} was refused with {} "
                                   "at replica {}",
                                   Version, Status, Replica + 1));
  if (Status != 200)
    return false;
  std::lock_guard Lock(this->Mutex);
  this->Acknowledged.emplace(Version, Clock::now());
  return true;
}

bool SoakOperator::send(std::uint64_t Version, std::size_t Replica,
                        int Attempts) {
  HttpClient Client(CallTimeout);
  for (int I = 0; I < Attempts; ++I) {
    if (this->sendOnce(Client, Version, Replica))
      return true;
    Replica = (Replica + 1) % this->Replicas.size();
    std::this_thread::sleep_for(RetryAfter);
  }
  return false;
}

bool SoakOperator::change(int Attempts) {
  return this->send(this->nextVersion(), this->anyReplica(), Attempts);
}

void SoakOperator::sendInvalid() {
  // Its number is never used for a valid one.
  json Body = this->config(this->nextVersion());
  Body["routes"][0]["timeoutMs"] = 0;
  HttpClient Client(CallTimeout);
  long Status = Client
                    .call("POST",
                          fmt::format("http://{}/config/replace",
                                      this->Replicas[this->anyReplica()]),
                          Body.dump())
                    .Status;
  if (Status == 200)
    this->Findings.add(
        fmt::format("the invalid configuration {} was acknowledged",
                    Body["version"].get<std::uint64_t>()));
}

void SoakOperator::sendTwoAtOnce() {
  std::uint64_t First = this->nextVersion();
  std::uint64_t Second = this->nextVersion();
  std::size_t Replica = this->anyReplica();
  auto Other = std::async(std::launch::async, [this, First, Replica] {
    this->send(First, Replica, Attempts);
  });
  this->send(Second, (Replica + 1) % this->Replicas.size(), Attempts);
  Other.get();
}

bool SoakOperator::read(std::size_t Replica) {
  HttpClient Client(CallTimeout);
  auto SentAt = Clock::now();
  HttpResult Result = Client.call(
      "GET", fmt::format("http://{}/config/read", this->Replicas[Replica]));
  if (Result.Status == 200)
    this->checkRead(Result.Body, SentAt);
  else if (isRefusal(Result.Status))
    this->Findings.add(fmt::format("a read was refused with {} at replica {}",
                                   Result.Status, Replica + 1));
  return Result.Status == 200;
}

void SoakOperator::checkRead(const std::string &Body,
                             Clock::time_point SentAt) {
  json Read = json::parse(Body, nullptr, false);
  std::uint64_t Version =
      Read.is_object() ? Read.value("version", std::uint64_t{0}) : 0;
  if (Version == 0 || Read != this->config(Version))
    this->Findings.add("a configuration was read that nobody sent: " + Body);
  std::uint64_t Newest = 0;
  {
    std::lock_guard Lock(this->Mutex);
    for (const auto &[Known, At] : this->Acknowledged)
      if (At + AppliesWithin <= SentAt)
        Newest = Known;
  }
  if (Version < Newest)
    this->Findings.add(
        fmt::format("configuration {} was read after {} had been acknowledged",
                    Version, Newest));
}

void SoakOperator::run(const std::atomic<bool> &Over) {
  while (!Over.load()) {
    switch (this->pick(0, 9)) {
    case 0:
    case 1:
      this->sendInvalid();
      break;
    case 2:
    case 3:
      this->sendTwoAtOnce();
      break;
    case 4:
    case 5:
      // Once more, as after an answer that was lost.
      if (this->change(Attempts))
        this->send(this->LastVersion, this->anyReplica(), Attempts);
      break;
    default:
      this->change(Attempts);
    }
    for (int I = 0; I < 3; ++I)
      this->read(this->anyReplica());
    int Longest = this->Storm ? MaxStormPauseMs : MaxPauseMs;
    std::this_thread::sleep_for(milliseconds(this->pick(0, Longest)));
  }
}

void SoakOperator::readAll(const std::vector<std::size_t> &Present) {
  for (std::size_t I : Present) {
    int Left = FinalReads;
    while (!this->read(I) && --Left > 0)
      std::this_thread::sleep_for(RetryAfter);
    if (Left == 0)
      this->Findings.add(
          fmt::format("replica {} answers no read after the faults", I + 1));
  }
}

int SoakOperator::acknowledged() const {
  std::lock_guard Lock(this->Mutex);
  return static_cast<int>(this->Acknowledged.size());
}

} // namespace yardwheel
