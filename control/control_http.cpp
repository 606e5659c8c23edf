#include "control/control_http.h"

#include "control/control_documents.h"
#include "core/job_id.h"
#include "core/text.h"
#include "http/json.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

namespace {

/// Retry-After of an answer while no leader is known.
constexpr std::chrono::milliseconds NoLeaderRetry{500};
/// Number of path segments: /v1/KIND, /v1/KIND/NAME and /v1/KIND/NAME/PART.
constexpr std::size_t CollectionDepth = 2;
constexpr std::size_t ObjectDepth = 3;
constexpr std::size_t PartDepth = 4;

void sendDocument(const std::shared_ptr<HttpReply> &Reply, HttpStatus Status,
                  const google::protobuf::Message &Document,
                  std::chrono::milliseconds RetryAfter = {}) {
  HttpAnswer Answer;
  Answer.Status = Status;
  Answer.Body = toJson(Document) + "\n";
  Answer.RetryAfter = RetryAfter;
  Reply->send(Answer);
}

void sendError(const std::shared_ptr<HttpReply> &Reply, HttpStatus Status,
               const std::string &Step, const std::string &Problem) {
  api::ErrorDocument Document;
  Document.set_error(printable(Problem));
  Document.set_step(Step);
  sendDocument(Reply, Status, Document);
}

bool isPath(const HttpRequest &Request, const char *Kind, std::size_t Depth) {
  return Request.Path.size() == Depth && Request.Path[0] == "v1" &&
         Request.Path[1] == Kind;
}

/// \returns what is wrong with a change of the replica set, or an empty string.
std::string checkReplicaChange(const api::ReplicaChange &Document) {
  const std::string &Action = Document.action();
  if (Action != "add" && Action != "promote" && Action != "remove")
    return "action: expected add, promote or remove";
  if (!isPlainKey(Document.replica().name()))
    return "replica.name: expected 1 to 128 letters, digits or -_.:";
  return {};
}

bool hasReplica(const peer::ReplicaSet &Set, const std::string &Name) {
  return std::any_of(
      Set.replicas().begin(), Set.replicas().end(),
      [&](const peer::Replica &Known) { return Known.name() == Name; });
}

/// \returns the replica set after the change; \p Old itself if the change is
/// already in effect.
peer::ReplicaSet editReplicas(const peer::ReplicaSet &Old,
                              const api::ReplicaChange &Document) {
  const api::ReplicaDocument &Given = Document.replica();
  peer::ReplicaSet New = Old;
  New.clear_replicas();
  for (const peer::Replica &Known : Old.replicas()) {
    bool IsTarget = Known.name() == Given.name();
    if (IsTarget && Document.action() == "remove")
      continue;
    peer::Replica *Kept = New.add_replicas();
    *Kept = Known;
    if (IsTarget && Document.action() == "promote")
      Kept->set_learner(false);
  }
  if (Document.action() != "add" || hasReplica(Old, Given.name()))
    return New;
  peer::Replica *Added = New.add_replicas();
  Added->set_name(Given.name());
  Added->set_address(Given.address());
  Added->set_http_address(Given.http_address());
  Added->set_learner(true);
  return New;
}

HttpStatus statusFor(const ProposalOutcome &Outcome) {
  switch (Outcome.State) {
  case ProposalState::Applied:
    break;
  case ProposalState::Unknown:
    return HttpStatus::GatewayTimeout;
  case ProposalState::NotLeader:
  case ProposalState::StorageFailed:
  case ProposalState::Overloaded:
  case ProposalState::Unsupported:
    return HttpStatus::Unavailable;
  }
  switch (Outcome.Result.verdict()) {
  case peer::CHANGE_DONE:
    return HttpStatus::Ok;
  case peer::CHANGE_CONFLICT:
    return HttpStatus::Conflict;
  default:
    return HttpStatus::BadRequest;
  }
}

} // namespace

ControlHttp::ControlHttp(EventLoop &Loop, ControlService &Service,
                         std::string Replica, std::uint64_t Seed)
    : Loop(Loop), Service(Service), Replica(std::move(Replica)), Random(Seed) {}

void ControlHttp::handle(const HttpRequest &Request,
                         std::shared_ptr<HttpReply> Reply) {
  this->Loop.post([this, Request, Reply](Instant Now) {
    this->route(Request, Reply, Now);
  });
}

void ControlHttp::route(const HttpRequest &Request, const ReplyPtr &Reply,
                        Instant Now) {
  if (Request.Path.size() == 1) {
    this->routeHealth(Request, Reply);
    return;
  }
  bool IsStatus = isPath(Request, "status", CollectionDepth);
  if (IsStatus && Request.Method == HttpMethod::Get) {
    sendDocument(Reply, HttpStatus::Ok,
                 toStatusDocument(this->Service, this->Replica));
    return;
  }
  bool Known = Request.Method == HttpMethod::Get
                   ? this->routeRead(Request, Reply, Now)
                   : this->routeChange(Request, Reply, Now);
  if (!Known)
    sendError(Reply, HttpStatus::NotFound, "route",
              fmt::format("no such resource or method: {}",
                          printable(Request.Resource)));
}

void ControlHttp::routeHealth(const HttpRequest &Request,
                              const ReplyPtr &Reply) {
  const std::string &Name = Request.Path[0];
  if (Name == "healthz") {
    Reply->send({.Body = "ok\n", .ContentType = "text/plain"});
  } else if (Name == "readyz") {
    bool Ready = !this->Draining.load() && this->Service.leader() != nullptr;
    HttpStatus Status = Ready ? HttpStatus::Ok : HttpStatus::Unavailable;
    Reply->send({.Status = Status,
                 .Body = Ready ? "ready\n" : "not ready\n",
                 .ContentType = "text/plain"});
  } else if (Name == "metrics") {
    this->showMetrics(Reply);
  } else {
    sendError(Reply, HttpStatus::NotFound, "route",
              fmt::format("no such resource: {}", printable(Request.Resource)));
  }
}

bool ControlHttp::routeRead(const HttpRequest &Request, const ReplyPtr &Reply,
                            Instant Now) {
  std::function<void()> SendResult;
  if (isPath(Request, "templates", CollectionDepth))
    SendResult = [this, Reply] { this->listTemplates(Reply); };
  else if (isPath(Request, "templates", ObjectDepth))
    SendResult = [this, Reply, Request] {
      this->showTemplate(Request.Path[2], Reply);
    };
  else if (isPath(Request, "workspaces", CollectionDepth))
    SendResult = [this, Reply] { this->listWorkspaces(Reply); };
  else if (isPath(Request, "workspaces", ObjectDepth))
    SendResult = [this, Reply, Request] {
      this->showWorkspace(Request.Path[2], Reply);
    };
  else if (isPath(Request, "members", CollectionDepth))
    SendResult = [this, Reply] { this->listMembers(Reply); };
  else if (isPath(Request, "evacuations", CollectionDepth))
    SendResult = [this, Reply] { this->listEvacuations(Reply); };
  else
    return false;
  this->Service.read(Now, [this, Request, Reply, SendResult](bool Confirmed) {
    if (Confirmed)
      SendResult();
    else
      this->redirect(Request, Reply);
  });
  return true;
}

bool ControlHttp::routeChange(const HttpRequest &Request, const ReplyPtr &Reply,
                              Instant Now) {
  if (isPath(Request, "templates", ObjectDepth) &&
      Request.Method == HttpMethod::Put)
    this->putTemplate(Request, Reply, Now);
  else if (isPath(Request, "workspaces", ObjectDepth))
    this->changeWorkspace(Request, Reply, Now);
  else if (isPath(Request, "workspaces", PartDepth) &&
           Request.Path[3] == "experiment" && Request.Method == HttpMethod::Put)
    this->putExperiment(Request, Reply, Now);
  else if (isPath(Request, "replicas", CollectionDepth) &&
           Request.Method == HttpMethod::Post)
    this->changeReplicas(Request, Reply, Now);
  else if (isPath(Request, "evacuations", PartDepth) &&
           (Request.Path[3] == "start" || Request.Path[3] == "finish") &&
           Request.Method == HttpMethod::Post)
    this->changeEvacuation(Request, Reply, Now);
  else
    return false;
  return true;
}

void ControlHttp::redirect(const HttpRequest &Request,
                           const ReplyPtr &Reply) const {
  const peer::Replica *Leader = this->Service.leader();
  if (Leader == nullptr || Leader->name() == this->Replica) {
    api::ErrorDocument Document;
    Document.set_error("no leader is confirmed by a quorum");
    Document.set_step("read");
    Document.set_peer(this->Replica);
    sendDocument(Reply, HttpStatus::Unavailable, Document, NoLeaderRetry);
    return;
  }
  HttpAnswer Answer;
  Answer.Status = HttpStatus::TemporaryRedirect;
  Answer.Location =
      fmt::format("http://{}{}", Leader->http_address(), Request.Resource);
  Reply->send(Answer);
}

// ---- Reads ----

void ControlHttp::listTemplates(const ReplyPtr &Reply) const {
  api::TemplateList List;
  peer::CatalogUpdate All = this->Service.catalog().updateSince(0);
  for (const peer::Template &Found : All.templates())
    *List.add_templates() = toDocument(Found);
  sendDocument(Reply, HttpStatus::Ok, List);
}

void ControlHttp::showTemplate(const std::string &Name,
                               const ReplyPtr &Reply) const {
  const peer::Template *Found = this->Service.catalog().findTemplate(Name);
  if (Found == nullptr)
    sendError(Reply, HttpStatus::NotFound, "read",
              fmt::format("template '{}': not found", Name));
  else
    sendDocument(Reply, HttpStatus::Ok, toDocument(*Found));
}

void ControlHttp::listWorkspaces(const ReplyPtr &Reply) const {
  api::WorkspaceList List;
  peer::CatalogUpdate All = this->Service.catalog().updateSince(0);
  for (const peer::Workspace &Found : All.workspaces())
    *List.add_workspaces() = toDocument(Found);
  sendDocument(Reply, HttpStatus::Ok, List);
}

void ControlHttp::showWorkspace(const std::string &Name,
                                const ReplyPtr &Reply) const {
  const peer::Workspace *Found = this->Service.catalog().findWorkspace(Name);
  if (Found == nullptr)
    sendError(Reply, HttpStatus::NotFound, "read",
              fmt::format("workspace '{}': not found", Name));
  else
    sendDocument(Reply, HttpStatus::Ok, toDocument(*Found));
}

void ControlHttp::listMembers(const ReplyPtr &Reply) const {
  api::MinionList List;
  for (const auto &[Name, Entry] : this->Service.members().entries())
    *List.add_minions() = toDocument(Entry.Member);
  sendDocument(Reply, HttpStatus::Ok, List);
}

void ControlHttp::listEvacuations(const ReplyPtr &Reply) const {
  api::EvacuationList List;
  for (const auto &[DataCentre, Found] : this->Service.catalog().evacuations())
    *List.add_evacuations() =
        toDocument(Found, this->Service.upstreamsIn(DataCentre));
  sendDocument(Reply, HttpStatus::Ok, List);
}

void ControlHttp::showMetrics(const ReplyPtr &Reply) const {
  const RaftNode &Raft = this->Service.raft();
  std::string Text;
  Text += fmt::format("yardwheel_control_leads {}\n", Raft.leads() ? 1 : 0);
  Text += fmt::format("yardwheel_control_term {}\n", Raft.term());
  Text +=
      fmt::format("yardwheel_control_commit_index {}\n", Raft.commitIndex());
  Text += fmt::format("yardwheel_control_log_entries {}\n", Raft.log().size());
  Text += fmt::format("yardwheel_control_revision {}\n",
                      this->Service.catalog().revision());
  Text += fmt::format("yardwheel_control_members {}\n",
                      this->Service.members().entries().size());
  Text += fmt::format("yardwheel_evacuations_active {}\n",
                      this->Service.catalog().activeEvacuations());
  Reply->send({.Body = Text, .ContentType = "text/plain; version=0.0.4"});
}

// ---- Changes ----

std::string ControlHttp::newChangeId(Instant Now) {
  return makeUuidV7(Now.Wall, this->Random).Key;
}

void ControlHttp::putTemplate(const HttpRequest &Request, const ReplyPtr &Reply,
                              Instant Now) {
  api::TemplateDocument Document;
  std::string Problem = fromJson(Request.Body, Document);
  peer::Change Change;
  peer::SetTemplate *Body = Change.mutable_set_template();
  if (Problem.empty())
    Problem =
        parseParameters(Document.parameters(), *Body->mutable_parameters());
  if (!Problem.empty()) {
    sendError(Reply, HttpStatus::BadRequest, "validate", Problem);
    return;
  }
  Body->set_name(Request.Path[2]);
  Change.set_id(Document.change_id());
  this->submit(std::move(Change), Request, Reply, Now);
}

void ControlHttp::changeWorkspace(const HttpRequest &Request,
                                  const ReplyPtr &Reply, Instant Now) {
  api::WorkspaceChange Document;
  peer::Parameters Parameters;
  std::string Problem = fromJson(Request.Body, Document);
  if (Problem.empty())
    Problem = parseParameters(Document.parameters(), Parameters);
  if (!Problem.empty()) {
    sendError(Reply, HttpStatus::BadRequest, "validate", Problem);
    return;
  }
  peer::Change Change;
  Change.set_id(Document.change_id());
  if (Request.Method == HttpMethod::Post) {
    peer::CreateWorkspace *Body = Change.mutable_create_workspace();
    Body->set_name(Request.Path[2]);
    Body->set_template_name(Document.template_name());
    *Body->mutable_parameters() = Parameters;
  } else if (Request.Method == HttpMethod::Patch) {
    peer::SetWorkspace *Body = Change.mutable_set_workspace();
    Body->set_name(Request.Path[2]);
    Body->set_base_version(Document.base_version());
    *Body->mutable_parameters() = Parameters;
  } else {
    sendError(Reply, HttpStatus::MethodNotAllowed, "route",
              "expected POST to create or PATCH to change a workspace");
    return;
  }
  this->submit(std::move(Change), Request, Reply, Now);
}

void ControlHttp::putExperiment(const HttpRequest &Request,
                                const ReplyPtr &Reply, Instant Now) {
  api::ExperimentChange Document;
  std::string Problem = fromJson(Request.Body, Document);
  if (!Problem.empty()) {
    sendError(Reply, HttpStatus::BadRequest, "validate", Problem);
    return;
  }
  peer::Change Change;
  Change.set_id(Document.change_id());
  peer::SetExperiment *Body = Change.mutable_set_experiment();
  Body->set_name(Request.Path[2]);
  Body->set_base_version(Document.base_version());
  for (const api::ExperimentArm &Arm : Document.experiment()) {
    peer::PolicyShare *Added = Body->add_shares();
    Added->set_policy(Arm.policy());
    Added->set_share(Arm.share());
  }
  this->submit(std::move(Change), Request, Reply, Now);
}

void ControlHttp::changeEvacuation(const HttpRequest &Request,
                                   const ReplyPtr &Reply, Instant Now) {
  api::EvacuationChange Document;
  std::string Problem = fromJson(Request.Body, Document);
  if (!Problem.empty()) {
    sendError(Reply, HttpStatus::BadRequest, "validate", Problem);
    return;
  }
  std::string Id = Document.change_id();
  if (Id.empty())
    Id = this->newChangeId(Now);
  this->Service.proposeEvacuation(
      Request.Path[2], /*Active=*/Request.Path[3] == "start", Id, Now,
      [this, Id, Request, Reply](const ProposalOutcome &Outcome) {
        this->answerChange(Outcome, Id, Request, Reply);
      });
}

void ControlHttp::submit(peer::Change Change, const HttpRequest &Request,
                         const ReplyPtr &Reply, Instant Now) {
  if (Change.id().empty())
    Change.set_id(this->newChangeId(Now));
  std::string Id = Change.id();
  this->Service.propose(
      Change, Now, [this, Id, Request, Reply](const ProposalOutcome &Outcome) {
        this->answerChange(Outcome, Id, Request, Reply);
      });
}

void ControlHttp::answerChange(const ProposalOutcome &Outcome,
                               const std::string &Id,
                               const HttpRequest &Request,
                               const ReplyPtr &Reply) const {
  if (Outcome.State == ProposalState::NotLeader)
    this->redirect(Request, Reply);
  else
    sendDocument(Reply, statusFor(Outcome), toDocument(Outcome, Id));
}

void ControlHttp::changeReplicas(const HttpRequest &Request,
                                 const ReplyPtr &Reply, Instant Now) {
  api::ReplicaChange Document;
  std::string Problem = fromJson(Request.Body, Document);
  if (Problem.empty())
    Problem = checkReplicaChange(Document);
  if (!Problem.empty()) {
    sendError(Reply, HttpStatus::BadRequest, "validate", Problem);
    return;
  }
  const RaftNode &Raft = this->Service.raft();
  const std::string &Name = Document.replica().name();
  bool Add = Document.action() == "add";
  if (!Add && !hasReplica(Raft.log().replicas(), Name)) {
    sendError(Reply, HttpStatus::NotFound, "validate",
              fmt::format("replica '{}': not found", printable(Name)));
    return;
  }
  // A voter that is still catching up would delay every commit.
  if (Document.action() == "promote" && Raft.leads() &&
      !Raft.isCaughtUp(Name)) {
    sendError(Reply, HttpStatus::Conflict, "promote",
              "the learner has not caught up yet; try again");
    return;
  }
  this->Service.proposeReplicas(
      editReplicas(Raft.log().replicas(), Document), Now,
      [this, Request, Reply](const ProposalOutcome &Outcome) {
        this->answerChange(Outcome, "", Request, Reply);
      });
}

} // namespace yardwheel
