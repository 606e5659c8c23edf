#include "coordination/open_start_relay.h"

#include <algorithm>

namespace yardwheel {

void OpenStartRelay::onMember(const peer::Member &Member) {
  if (Member.state() == peer::MEMBER_LOST) {
    this->Entries.erase(Member.name());
    return;
  }
  Entry &Known = this->Entries[Member.name()];
  // A new incarnation knows of no row.
  if (Known.Incarnation != Member.incarnation())
    Known = {};
  Known.Ref = {Member.name(), Member.address()};
  Known.Incarnation = Member.incarnation();
}

void OpenStartRelay::add(const std::string &Agent, const std::string &Job,
                         std::uint32_t Index, TimePoint Until) {
  if (this->Rows.size() >= this->Options.MaxStarts) {
    this->Log.decision("open_start_not_relayed",
                       {{"job", Job}, {"task", Index}, {"agent", Agent}});
    return;
  }
  this->Rows.push_back({++this->LastNumber, Agent, Job, Index, Until});
  // Others get the row with their next repeat.
  for (auto &[Name, Known] : this->Entries)
    if (Known.Acknowledged >= Known.LastSent)
      Known.NextMessage = TimePoint::min();
}

void OpenStartRelay::onReply(const std::string &Entry,
                             const peer::OpenStartRelayReply &Reply) {
  auto Found = this->Entries.find(Entry);
  bool IsCurrent = Found != this->Entries.end() &&
                   Found->second.Incarnation == Reply.receiver_incarnation() &&
                   Reply.seen() <= this->LastNumber;
  if (!IsCurrent)
    return;
  // A lower number comes from an incarnation that control has not announced
  // yet, or late. Rows that are sent once more do no harm.
  bool Progress = Reply.seen() != Found->second.Acknowledged;
  Found->second.Acknowledged = Reply.seen();
  if (Progress)
    Found->second.NextMessage = TimePoint::min();
}

peer::Message OpenStartRelay::messageFor(const Entry &To, TimePoint Now) const {
  peer::Message Message;
  peer::OpenStartRelay *Relay = Message.mutable_open_start_relay();
  Relay->set_receiver_incarnation(To.Incarnation);
  Relay->set_acknowledged(To.Acknowledged);
  auto Next =
      std::ranges::upper_bound(this->Rows, To.Acknowledged, {}, &Row::Number);
  for (; Next != this->Rows.end() &&
         Relay->starts_size() < this->Options.MaxPerMessage;
       ++Next) {
    peer::RelayedStart *Out = Relay->add_starts();
    Out->set_agent(Next->Agent);
    peer::OpenStart *Start = Out->mutable_start();
    Start->set_job(Next->Job);
    Start->set_index(Next->Index);
    // Later rows may be over earlier.
    Start->set_left_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, millisBetween(Now, Next->Until))));
    Start->set_number(Next->Number);
  }
  return Message;
}

std::vector<std::pair<PeerRef, peer::Message>>
OpenStartRelay::dueMessages(TimePoint Now) {
  while (!this->Rows.empty() && Now >= this->Rows.front().Until)
    this->Rows.pop_front();
  std::vector<std::pair<PeerRef, peer::Message>> Due;
  if (this->Rows.empty())
    return Due;
  for (auto &[Name, Known] : this->Entries) {
    bool IsDue = Known.Acknowledged < this->Rows.back().Number &&
                 Now >= Known.NextMessage;
    if (!IsDue)
      continue;
    Known.NextMessage = Now + this->Options.RepeatInterval;
    peer::Message Message = this->messageFor(Known, Now);
    Known.LastSent =
        Message.open_start_relay().starts().rbegin()->start().number();
    Due.emplace_back(Known.Ref, std::move(Message));
  }
  return Due;
}

} // namespace yardwheel
