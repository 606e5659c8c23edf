#include "control/control_documents.h"

#include "catalog/parameters.h"

#include <fmt/format.h>

namespace yardwheel {

namespace {

const char *stateName(peer::MemberState State) {
  switch (State) {
  case peer::MEMBER_ALIVE:
    return "alive";
  case peer::MEMBER_LEAVING:
    return "leaving";
  case peer::MEMBER_LOST:
    return "lost";
  default:
    return "unknown";
  }
}

const char *roleText(peer::Role Role) {
  switch (Role) {
  case peer::ROLE_ENTRY:
    return "entry";
  case peer::ROLE_AGENT:
    return "agent";
  case peer::ROLE_CONTROL:
    return "control";
  default:
    return "unknown";
  }
}

const char *raftRoleText(RaftRole Role) {
  switch (Role) {
  case RaftRole::Leader:
    return "leader";
  case RaftRole::Candidate:
  case RaftRole::PreCandidate:
    return "candidate";
  case RaftRole::Follower:
    return "follower";
  }
  return "unknown";
}

template <typename Document>
void addParameters(const peer::Parameters &Source, Document &Target) {
  for (std::string_view Key : parameterKeys()) {
    api::Parameter *Added = Target.add_parameters();
    Added->set_key(std::string(Key));
    Added->set_value(parameterText(Source, Key));
  }
}

const char *verdictText(const ProposalOutcome &Outcome) {
  switch (Outcome.State) {
  case ProposalState::NotLeader:
    return "not_leader";
  case ProposalState::Unknown:
    return "unknown";
  case ProposalState::StorageFailed:
    return "storage_failed";
  case ProposalState::Overloaded:
    return "overloaded";
  case ProposalState::Unsupported:
    return "unsupported";
  case ProposalState::Applied:
    break;
  }
  switch (Outcome.Result.verdict()) {
  case peer::CHANGE_DONE:
    return "done";
  case peer::CHANGE_CONFLICT:
    return "conflict";
  default:
    return "invalid";
  }
}

} // namespace

api::TemplateDocument toDocument(const peer::Template &Source) {
  api::TemplateDocument Target;
  Target.set_name(Source.name());
  Target.set_revision(static_cast<std::uint32_t>(Source.revision()));
  addParameters(Source.parameters(), Target);
  return Target;
}

api::WorkspaceDocument toDocument(const peer::Workspace &Source) {
  api::WorkspaceDocument Target;
  Target.set_name(Source.name());
  Target.set_template_name(Source.template_name());
  Target.set_version(static_cast<std::uint32_t>(Source.version()));
  Target.set_revision(static_cast<std::uint32_t>(Source.revision()));
  addParameters(Source.parameters(), Target);
  for (const peer::PolicyShare &Arm : Source.experiment()) {
    api::ExperimentArm *Added = Target.add_experiment();
    Added->set_policy(Arm.policy());
    Added->set_share(Arm.share());
  }
  return Target;
}

api::MinionDocument toDocument(const peer::Member &Source) {
  api::MinionDocument Target;
  Target.set_name(Source.name());
  Target.set_role(roleText(Source.role()));
  Target.set_state(stateName(Source.state()));
  Target.set_address(Source.address());
  Target.set_http_address(Source.http_address());
  Target.set_data_centre(Source.data_centre());
  Target.set_rack(Source.rack());
  Target.set_pool(Source.pool());
  Target.set_slots(Source.slots());
  Target.set_incarnation(fmt::to_string(Source.incarnation()));
  return Target;
}

api::EvacuationDocument toDocument(const peer::Evacuation &Source,
                                   std::size_t Upstreams) {
  api::EvacuationDocument Target;
  Target.set_data_centre(Source.data_centre());
  Target.set_active(Source.active());
  Target.set_revision(static_cast<std::uint32_t>(Source.revision()));
  Target.set_upstreams(static_cast<std::uint32_t>(Upstreams));
  return Target;
}

api::StatusDocument toStatusDocument(const ControlService &Service,
                                     const std::string &Replica) {
  api::StatusDocument Target;
  Target.set_replica(Replica);
  Target.set_role(raftRoleText(Service.raft().role()));
  Target.set_leader(Service.raft().leader());
  Target.set_term(static_cast<std::uint32_t>(Service.raft().term()));
  Target.set_revision(static_cast<std::uint32_t>(Service.catalog().revision()));
  Target.set_log_entries(
      static_cast<std::uint32_t>(Service.raft().log().size()));
  std::uint32_t Entries = 0;
  std::uint32_t Agents = 0;
  for (const auto &[Name, Entry] : Service.members().entries()) {
    bool Alive = Entry.Member.state() == peer::MEMBER_ALIVE;
    Entries += Alive && Entry.Member.role() == peer::ROLE_ENTRY ? 1 : 0;
    Agents += Alive && Entry.Member.role() == peer::ROLE_AGENT ? 1 : 0;
  }
  Target.set_entries(Entries);
  Target.set_agents(Agents);
  for (const peer::Replica &Known :
       Service.raft().log().replicas().replicas()) {
    api::ReplicaDocument *Added = Target.add_replicas();
    Added->set_name(Known.name());
    Added->set_address(Known.address());
    Added->set_http_address(Known.http_address());
    Added->set_learner(Known.learner());
  }
  return Target;
}

api::ChangeAnswer toDocument(const ProposalOutcome &Outcome,
                             const std::string &ChangeId) {
  api::ChangeAnswer Target;
  Target.set_verdict(verdictText(Outcome));
  Target.set_revision(static_cast<std::uint32_t>(Outcome.Result.revision()));
  Target.set_version(static_cast<std::uint32_t>(Outcome.Result.version()));
  Target.set_reason(Outcome.Reason.empty() ? Outcome.Result.reason()
                                           : Outcome.Reason);
  Target.set_change_id(ChangeId);
  return Target;
}

std::string parseParameters(
    const google::protobuf::RepeatedPtrField<api::Parameter> &Source,
    peer::Parameters &Target) {
  std::string Problem;
  for (const api::Parameter &Given : Source) {
    std::string Expected = setParameter(Target, Given.key(), Given.value());
    if (!Expected.empty())
      Problem += (Problem.empty() ? "" : "\n") + Expected;
  }
  return Problem;
}

} // namespace yardwheel
