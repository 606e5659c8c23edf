#include "entry/attach_registry.h"

namespace yardwheel {

namespace {

/// The links report undelivered messages, so resending is a last resort.
constexpr std::chrono::milliseconds ResendInterval{2000};
constexpr std::uint32_t MaxUnansweredSends = 4;

} // namespace

Ticket AttachRegistry::open(const std::string &Key, const peer::Owner &Owner,
                            std::uint64_t Fingerprint, AttachMode Mode,
                            TimePoint Now) {
  Ticket Number = ++this->LastTicket;
  Request &Target = this->Requests[Number];
  Target.Owner = Owner;
  peer::AttachRequest *Body = Target.Message.mutable_attach_request();
  Body->set_job_key(Key);
  Body->set_fingerprint(Fingerprint);
  Body->set_ticket(Number);
  Body->set_asker_incarnation(this->Incarnation);
  Body->set_owner_incarnation(Owner.incarnation());
  Body->set_peek(Mode == AttachMode::Peek);
  Body->set_cancel(Mode == AttachMode::Cancel);
  this->send(Target, Now);
  return Number;
}

void AttachRegistry::send(Request &Target, TimePoint Now) {
  ++Target.Unanswered;
  Target.NextSend = Now + ResendInterval;
  this->Sink.send({Target.Owner.entry(), Target.Owner.address()},
                  Target.Message);
}

bool AttachRegistry::onReply(const peer::AttachReply &Reply, TimePoint Now) {
  auto Found = this->Requests.find(Reply.ticket());
  // Tickets are reused after a restart, so a reply to an earlier incarnation
  // may carry the ticket of an open request.
  if (Found == this->Requests.end() ||
      Reply.asker_incarnation() != this->Incarnation)
    return false;
  Found->second.Unanswered = 0;
  Found->second.NextSend = Now + ResendInterval;
  return true;
}

void AttachRegistry::onSendFailed(const std::string &Entry, TimePoint Now) {
  for (auto &[Number, Target] : this->Requests)
    if (Target.Owner.entry() == Entry && Target.Unanswered < MaxUnansweredSends)
      this->send(Target, Now);
    else if (Target.Owner.entry() == Entry)
      Target.NextSend = Now;
}

std::vector<Ticket> AttachRegistry::tick(TimePoint Now) {
  std::vector<Ticket> Silent;
  for (auto &[Number, Target] : this->Requests) {
    if (Now < Target.NextSend)
      continue;
    if (Target.Unanswered >= MaxUnansweredSends)
      Silent.push_back(Number);
    else
      this->send(Target, Now);
  }
  return Silent;
}

} // namespace yardwheel
