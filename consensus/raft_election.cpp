//===- Leader election in RaftNode ----------------------------------------===//

#include "consensus/raft_node.h"

#include "core/error.h"

namespace yardwheel {

bool RaftNode::hasRecentLeader(TimePoint Now) const {
  if (this->leads())
    return true;
  return !this->Leader.empty() && this->LastLeaderContact != TimePoint::min() &&
         Now - this->LastLeaderContact < this->Options.ElectionTimeout;
}

void RaftNode::campaign(bool Pre, TimePoint Now) {
  std::uint64_t NewTerm = this->Hard.term() + 1;
  if (!Pre) {
    try {
      this->persistHardState(NewTerm, this->Options.Name);
    } catch (const Error &) {
      // A vote that is not stored must not be cast, not even for this replica.
      return;
    }
  }
  this->Role = Pre ? RaftRole::PreCandidate : RaftRole::Candidate;
  this->Leader.clear();
  this->Votes = {this->Options.Name};
  for (const std::string &Name : this->countedVoters()) {
    if (Name == this->Options.Name)
      continue;
    peer::RaftMessage Message = this->messageTo(Name);
    Message.set_term(NewTerm);
    peer::VoteRequest *Request = Message.mutable_vote_request();
    Request->set_pre(Pre);
    Request->set_last_index(this->Log.lastIndex());
    Request->set_last_term(this->Log.lastTerm());
    Request->set_log_format(this->Options.LogFormat);
    this->Events.send(std::move(Message));
  }
  bool IsWon = this->quorum().isReached(this->Votes);
  this->reportCampaign(Pre, NewTerm, IsWon);
  if (!IsWon)
    return;
  if (Pre)
    this->campaign(/*Pre=*/false, Now);
  else
    this->becomeLeader(Now);
}

void RaftNode::reportCampaign(bool Pre, std::uint64_t Term, bool IsWon) {
  this->Events.onCampaign({Term, Pre, this->Votes, IsWon});
}

std::string RaftNode::refusalOf(const peer::RaftMessage &Message,
                                TimePoint Now) const {
  const peer::VoteRequest &Request = Message.vote_request();
  if (this->Options.PreVote && this->hasRecentLeader(Now))
    return "hears a leader";
  if (Request.log_format() < this->RequiredFormat)
    return "the candidate cannot apply the log format";
  bool UpToDate = Request.last_term() > this->Log.lastTerm() ||
                  (Request.last_term() == this->Log.lastTerm() &&
                   Request.last_index() >= this->Log.lastIndex());
  if (!UpToDate)
    return "the candidate's log is older";
  if (Request.pre())
    return Message.term() > this->Hard.term() ? "" : "an old term";
  if (Message.term() != this->Hard.term())
    return "an old term";
  bool Free = this->Hard.voted_for().empty() ||
              this->Hard.voted_for() == Message.from();
  return Free ? "" : "has voted for another one";
}

void RaftNode::onVoteRequest(const peer::RaftMessage &Message, TimePoint Now) {
  const peer::VoteRequest &Request = Message.vote_request();
  std::string Refusal = this->refusalOf(Message, Now);
  bool Granted = Refusal.empty();
  this->Events.onVoteDecision(
      {Message.from(), Message.term(), Request.pre(), Refusal});
  if (Granted && !Request.pre()) {
    try {
      this->persistHardState(this->Hard.term(), Message.from());
    } catch (const Error &) {
      return;
    }
    this->resetElectionDeadline(Now);
  }
  peer::RaftMessage Reply = this->messageTo(Message.from());
  // A granted pre-vote carries the term of the request.
  if (Granted)
    Reply.set_term(Message.term());
  Reply.mutable_vote_reply()->set_pre(Request.pre());
  Reply.mutable_vote_reply()->set_granted(Granted);
  this->Events.send(std::move(Reply));
}

void RaftNode::onVoteReply(const peer::RaftMessage &Message, TimePoint Now) {
  const peer::VoteReply &Reply = Message.vote_reply();
  if (!Reply.granted()) {
    if (Message.term() > this->Hard.term())
      this->becomeFollower(Message.term(), "", Now);
    return;
  }
  RaftRole Expected =
      Reply.pre() ? RaftRole::PreCandidate : RaftRole::Candidate;
  std::uint64_t ExpectedTerm = this->Hard.term() + (Reply.pre() ? 1 : 0);
  if (this->Role != Expected || Message.term() != ExpectedTerm)
    return;
  this->Votes.insert(Message.from());
  bool IsWon = this->quorum().isReached(this->Votes);
  this->reportCampaign(Reply.pre(), ExpectedTerm, IsWon);
  if (!IsWon)
    return;
  if (Reply.pre())
    this->campaign(/*Pre=*/false, Now);
  else
    this->becomeLeader(Now);
}

void RaftNode::becomeFollower(std::uint64_t Term, const std::string &NewLeader,
                              TimePoint Now) {
  if (Term > this->Hard.term()) {
    try {
      this->persistHardState(Term, "");
    } catch (const Error &) {
      // The new term is kept in memory only. This is safe: a higher term only
      // restricts what this replica does, and no vote is cast without being
      // stored.
      this->Hard.set_term(Term);
      this->Hard.clear_voted_for();
    }
  }
  bool Led = this->leads();
  this->Role = RaftRole::Follower;
  this->Leader = NewLeader;
  this->Reads.clear();
  this->resetElectionDeadline(Now);
  if (Led)
    this->Events.onLeadershipChange(false);
}

void RaftNode::becomeLeader(TimePoint Now) {
  this->Role = RaftRole::Leader;
  this->Leader = this->Options.Name;
  this->Followers.clear();
  this->syncProgress(Now);
  // The leader can commit entries of earlier terms only together with an entry
  // of its own term.
  peer::LogEntry Entry;
  Entry.set_no_op(true);
  try {
    this->LeadershipIndex = this->Log.lastIndex() + 1;
    this->appendLocal(std::move(Entry), Now);
  } catch (const Error &) {
    this->becomeFollower(this->Hard.term(), "", Now);
    return;
  }
  this->Events.onLeadershipChange(true);
}

void RaftNode::checkQuorum(TimePoint Now) {
  if (!this->Options.CheckQuorum)
    return;
  std::set<std::string> Heard = {this->Options.Name};
  for (const auto &[Name, Follower] : this->Followers)
    if (Now - Follower.LastHeard < 2 * this->Options.ElectionTimeout)
      Heard.insert(Name);
  if (!this->quorum().isReached(Heard))
    this->becomeFollower(this->Hard.term(), "", Now);
}

} // namespace yardwheel
