//===- LeaseCoordinator: tasks that wait for offers of agents -------------===//

#include "coordination/lease_coordinator.h"

#include <algorithm>

namespace yardwheel {

std::chrono::milliseconds LeaseCoordinator::slackOf(const Job &Target,
                                                    Instant Now) {
  std::chrono::milliseconds Used(millisBetween(Target.AcceptedAt, Now.Steady));
  return Target.Request.Objective - Used - Target.Request.Estimate;
}

std::uint64_t LeaseCoordinator::awaitingCpu() const {
  std::uint64_t CpuMilli = 0;
  if (!this->Waits.usesOffers(this->Workers.workers().size()))
    return CpuMilli;
  for (const auto &[Id, Known] : this->Jobs)
    if (Known->Phase == JobPhase::Running)
      CpuMilli += std::uint64_t{Known->AwaitingOffers} *
                  Known->Request.Needs.cpu_milli();
  return CpuMilli;
}

void LeaseCoordinator::awaitOffers(Job &Target,
                                   const std::set<std::string> &Avoid,
                                   std::uint32_t Tasks, Instant Now) {
  // Agents have already been asked to offer capacity for the other tasks.
  Target.AwaitingOffers += Tasks;
  std::uint32_t New = Target.AwaitingOffers -
                      std::min(Target.AwaitingOffers, Target.OffersRequested);
  Target.OffersRequested += New;
  std::chrono::milliseconds Slack = slackOf(Target, Now);
  if (Target.OffersDeadline == TimePoint::max())
    Target.OffersDeadline = Now.Steady + this->Waits.offerWaitTime(Slack);
  if (New == 0)
    return;
  for (const LeasedWorker *Worker : this->Workers.sampleWorkers(
           Target.Request, Avoid, this->Waits.workersToQuery(New), Now.Steady,
           Slack + Target.Request.Estimate)) {
    peer::Message Message;
    peer::LeasedInterest *Interest = Message.mutable_leased_interest();
    Interest->set_job(Target.Request.Id);
    Interest->set_agent_incarnation(Worker->Incarnation);
    *Interest->mutable_needs() = Target.Request.Needs;
    *Interest->mutable_requirement() = Target.Request.requirement();
    Interest->set_tasks(New);
    Interest->set_start_by_ms(static_cast<std::int32_t>(Slack.count()));
    this->Sink.send(Worker->Agent, std::move(Message));
    Target.AskedAgents.insert(Worker->Agent.Node);
  }
  this->Log.decision("offers_awaited",
                     {{"job", Target.Request.Id},
                      {"tasks", New},
                      {"agents_asked", Target.AskedAgents.size()},
                      {"slack_ms", Slack.count()}});
}

void LeaseCoordinator::withdrawInterest(Job &Target) {
  for (const std::string &Agent : Target.AskedAgents) {
    const LeasedWorker *Worker = this->Workers.find(Agent);
    peer::Message Message;
    peer::LeasedInterest *Interest = Message.mutable_leased_interest();
    Interest->set_job(Target.Request.Id);
    Interest->set_agent_incarnation(Worker->Incarnation);
    this->Sink.send(Worker->Agent, std::move(Message));
  }
  Target.AskedAgents.clear();
}

void LeaseCoordinator::onOffer(const PeerRef &From,
                               const peer::LeasedOffer &Offer, Instant Now) {
  Job *Target = this->find(Offer.job());
  const LeasedWorker *Worker = this->Workers.find(From.Node);
  bool Wanted = Target != nullptr && Target->Phase == JobPhase::Running &&
                Worker != nullptr && Worker->isReachable() &&
                !Worker->Evacuated &&
                Worker->Incarnation == Offer.load().incarnation() &&
                WorkerTable::suits(*Worker, Target->Request) &&
                !this->AwaitsAgents && !this->endIfUnwanted(*Target, Now);
  std::map<std::string, peer::LeasedDispatch> Batch;
  std::uint32_t Accepted = 0;
  for (std::uint32_t I = 0; Wanted && I < Target->Tasks.size(); ++I) {
    const Task &JobTask = Target->Tasks[I];
    bool Fits = JobTask.Phase == TaskPhase::Unplaced &&
                !this->excludedAgents(*Target, I, Now).contains(From.Node) &&
                JobTask.Attempt < JobTask.AttemptLimit;
    if (!Fits || Accepted == Offer.tasks())
      continue;
    this->assign(*Target, I, *Worker, Now, Batch);
    ++Accepted;
  }
  if (Accepted == 0) {
    peer::Message Message;
    Message.mutable_offer_reply()->set_offer(Offer.offer());
    this->Sink.send(From, std::move(Message));
    this->forgetIfSettled(Offer.job(), Now);
    return;
  }
  Target->AwaitingOffers -= std::min(Target->AwaitingOffers, Accepted);
  Target->OffersRequested -= std::min(Target->OffersRequested, Accepted);
  // The reply to an offer that is not used up also ends the interest at its
  // agent.
  if (Accepted < Offer.tasks())
    Target->AskedAgents.erase(From.Node);
  if (Target->AwaitingOffers == 0)
    this->withdrawInterest(*Target);
  Batch[From.Node].set_offer(Offer.offer());
  Batch[From.Node].set_start_or_refuse(true);
  this->dispatch(*Target, Batch, Now);
}

} // namespace yardwheel
