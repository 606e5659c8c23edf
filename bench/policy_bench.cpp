#include "bench/policy_bench.h"

#include "bench/ideal_queue.h"
#include "emulator/virtual_cluster.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr Duration CallerTimeout{1000000};
constexpr std::uint32_t MaxCallerRetries = 2;
/// Time after the last arrival for the running jobs to end.
constexpr Duration DrainTime{40000000};
constexpr Duration FailureTime{1000};

const char *const FailingAgent = "a1";
const char *const LostAgent = "a4";

double slowdown(const JobPlan &Job, Duration Response, std::uint32_t Slots) {
  Duration Least = std::max(Job.longest(), Job.total() / Slots);
  return static_cast<double>(Response.count()) /
         static_cast<double>(Least.count());
}

/// Counts claims and wasted messages.
class MessageCounter {
public:
  void record(const peer::Message &Message) {
    switch (Message.body_case()) {
    case peer::Message::kTaskUpdate:
      this->recordUpdate(Message.task_update());
      return;
    case peer::Message::kClaimRequest:
      ++this->Claims;
      return;
    case peer::Message::kWithdraw:
    case peer::Message::kAgentLoad:
    case peer::Message::kClaimRelease:
      ++this->Wasted;
      return;
    case peer::Message::kAttachReply:
      if (Message.attach_reply().state() == peer::ATTACH_PENDING)
        ++this->Wasted;
      return;
    default:
      return;
    }
  }

  double wastedPerTask(std::size_t Jobs, std::size_t Tasks) const {
    std::uint64_t Needed = HoldersPerGroup * Jobs;
    std::uint64_t ClaimsResent =
        this->Claims > Needed ? this->Claims - Needed : 0;
    return static_cast<double>(this->Wasted + ClaimsResent) /
           static_cast<double>(Tasks);
  }

private:
  void recordUpdate(const peer::TaskUpdate &Update) {
    bool Ended = Update.event() == peer::TASK_SUCCEEDED ||
                 Update.event() == peer::TASK_FAILED;
    if (!Ended)
      this->Wasted += Update.event() == peer::TASK_NOT_STARTED ? 2 : 1;
  }

  std::uint64_t Wasted = 0;
  std::uint64_t Claims = 0;
};

/// One policy under one load, from the first arrival to the last answer.
class PolicyRun {
public:
  PolicyRun(const Deployment &Site, const LoadSpec &Load,
            const std::string &Policy, Duration Length, std::uint64_t Seed)
      : Site(Site), Load(Load), Length(Length),
        Jobs(makeJobs(Site, Load, Length, Seed)),
        Cluster(optionsFor(Site, Load, Policy, Seed)) {
    this->Result.Policy = Policy;
    this->Result.Load = Load.Name;
    this->setDelays();
    this->Cluster.World.setFilter(
        [this](const PeerRef &, const PeerRef &, const peer::Message &Sent) {
          // After the load, the probes to idle agents would be counted.
          if (this->Cluster.World.now().Steady < this->LoadEnd)
            this->Messages.record(Sent);
          return Duration(0);
        });
  }

  BenchRow run() {
    this->Cluster.settle();
    this->LoadEnd = this->Cluster.World.now().Steady + this->Length;
    this->Requests.resize(this->Jobs.size());
    this->Submissions.resize(this->Jobs.size());
    for (std::size_t I = 0; I < this->Jobs.size(); ++I)
      this->schedule(I);
    if (this->Load.LostUpstream)
      this->Cluster.World.after(this->Length / 2,
                                [this] { this->removeUpstream(); });
    this->Cluster.run(this->Length + DrainTime);
    this->collect();
    return this->Result;
  }

private:
  static ClusterOptions optionsFor(const Deployment &Site, const LoadSpec &Load,
                                   const std::string &Policy,
                                   std::uint64_t Seed) {
    ClusterOptions Options;
    Options.Seed = Seed;
    Options.Entries = Site.Entries;
    Options.Agents = Site.Upstreams;
    Options.Slots = Site.Slots;
    Options.Policy = Policy;
    Options.QueueLimit = 20000;
    Options.Behaviour = [Fails =
                             Load.FailingUpstream](const std::string &Agent,
                                                   const std::string &Payload) {
      if (Fails && Agent == FailingAgent)
        return TaskBehaviour{FailureTime, true};
      std::string Micros = Payload.substr(Payload.find(' ') + 1);
      return TaskBehaviour{Duration(std::stoll(Micros)), false};
    };
    return Options;
  }

  void setDelays() {
    std::size_t Centres = this->Site.DataCentres;
    Duration Near = this->Site.NearDelay;
    Duration Far = this->Site.FarDelay;
    this->Cluster.World.setDelay(
        [Centres, Near, Far](const std::string &A, const std::string &B) {
          auto CentreOf = [&](const std::string &Node) {
            return std::stoul(Node.substr(1)) % Centres;
          };
          return CentreOf(A) == CentreOf(B) ? Near : Far;
        });
  }

  void schedule(std::size_t I) {
    const JobPlan &Job = this->Jobs[I];
    this->Cluster.World.after(Job.At, [this, I] {
      this->Requests[I] = this->makeRequest(I);
      this->submit(I, this->Jobs[I].Entry);
    });
    if (Job.CancelAt)
      this->Cluster.World.after(*Job.CancelAt, [this, I] {
        this->Cluster.query(entryName(this->Jobs[I].Entry), this->Requests[I],
                            QueryKind::Cancel);
      });
  }

  static std::string entryName(std::size_t Number) {
    return VirtualCluster::nodeName('e', Number + 1);
  }

  JobRequest makeRequest(std::size_t I) {
    const JobPlan &Job = this->Jobs[I];
    JobRequest Request =
        this->Cluster.makeJob(fmt::format("job{}", I), Job.Tasks.size());
    Request.TimeLeft = std::chrono::milliseconds(60000);
    for (std::size_t T = 0; T < Job.Tasks.size(); ++T)
      Request.Tasks[T].Payload +=
          fmt::format(" {}", Job.Tasks[T].Service.count());
    return Request;
  }

  void submit(std::size_t I, std::size_t Entry) {
    std::vector<std::size_t> &Mine = this->Submissions[I];
    Mine.push_back(this->Cluster.submit(entryName(Entry), this->Requests[I]));
    if (!this->Load.Retries || Mine.size() > MaxCallerRetries)
      return;
    this->Cluster.World.after(CallerTimeout, [this, I, Entry] {
      if (!this->firstAnswer(I))
        this->submit(I, (Entry + 1) % this->Site.Entries);
    });
  }

  /// Returns the first answer that the caller receives; null if there is none.
  const Answer *firstAnswer(std::size_t I) const {
    const Answer *First = nullptr;
    for (std::size_t Number : this->Submissions[I]) {
      const Answer &Received = this->Cluster.answer(Number);
      if (Received.Done && (First == nullptr || Received.At < First->At))
        First = &Received;
    }
    return First;
  }

  void removeUpstream() {
    this->Cluster.kill(LostAgent);
    // Control detects the loss after a lease.
    constexpr Duration Lease{3000000};
    this->Cluster.World.after(
        Lease, [this] { this->Cluster.announceLost(LostAgent); });
  }

  void collect() {
    std::vector<double> Slowdowns;
    for (std::size_t I = 0; I < this->Jobs.size(); ++I) {
      const JobPlan &Job = this->Jobs[I];
      this->Result.Tasks += Job.Tasks.size();
      const Answer *Received = this->firstAnswer(I);
      if (Received == nullptr) {
        this->Result.Violation = fmt::format("job {} was never answered", I);
        continue;
      }
      if (Received->Outcome.complete())
        Slowdowns.push_back(slowdown(Job, Received->At - this->submittedAt(I),
                                     this->Site.totalSlots()));
      else if (Received->Outcome.failure().kind() == peer::FAILURE_LIMIT)
        ++this->Result.Refused;
      else if (Received->Outcome.failure().kind() != peer::FAILURE_CANCELLED)
        ++this->Result.Failed;
    }
    this->Result.Jobs = this->Jobs.size();
    this->Result.Slowdown = quantilesOf(std::move(Slowdowns));
    this->Result.WastedPerTask =
        this->Messages.wastedPerTask(this->Result.Jobs, this->Result.Tasks);
    this->Result.DoubleStarts = this->Cluster.doubleStarts();
    if (this->Result.Violation.empty())
      this->Result.Violation = this->Cluster.violation();
  }

  TimePoint submittedAt(std::size_t I) const {
    return this->Cluster.answer(this->Submissions[I].front()).SubmittedAt;
  }

  const Deployment &Site;
  const LoadSpec &Load;
  Duration Length;
  TimePoint LoadEnd;
  std::vector<JobPlan> Jobs;
  VirtualCluster Cluster;
  MessageCounter Messages;
  std::vector<JobRequest> Requests;
  std::vector<std::vector<std::size_t>> Submissions;
  BenchRow Result;
};

} // namespace

Quantiles quantilesOf(std::vector<double> Values) {
  if (Values.empty())
    return {};
  std::sort(Values.begin(), Values.end());
  auto At = [&](double Share) {
    auto Rank =
        static_cast<std::size_t>(Share * static_cast<double>(Values.size()));
    return Values[std::min(Rank, Values.size() - 1)];
  };
  return {At(0.5), At(0.99), At(0.999)};
}

BenchRow runPolicy(const Deployment &Site, const LoadSpec &Load,
                   const std::string &Policy, Duration Length,
                   std::uint64_t Seed) {
  return PolicyRun(Site, Load, Policy, Length, Seed).run();
}

BenchRow runIdeal(const Deployment &Site, const LoadSpec &Load, Duration Length,
                  std::uint64_t Seed) {
  std::vector<JobPlan> Jobs = makeJobs(Site, Load, Length, Seed);
  BenchRow Result;
  Result.Policy = "ideal";
  Result.Load = Load.Name;
  Result.Jobs = Jobs.size();
  std::vector<double> Slowdowns;
  std::vector<std::optional<Duration>> Responses =
      idealResponses(Jobs, Site, Load, Length);
  for (std::size_t I = 0; I < Jobs.size(); ++I) {
    Result.Tasks += Jobs[I].Tasks.size();
    if (Responses[I])
      Slowdowns.push_back(slowdown(Jobs[I], *Responses[I], Site.totalSlots()));
  }
  Result.Slowdown = quantilesOf(std::move(Slowdowns));
  return Result;
}

} // namespace yardwheel
