#include "entry/entry_http.h"

#include "core/job_id.h"
#include "core/text.h"
#include "entry/answer_path.h"
#include "entry/request_path.h"
#include "http/json.h"

#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr std::size_t ReportDepth = 4;
constexpr std::size_t JobsDepth = 4;
constexpr std::size_t JobDepth = 5;

bool isUnder(const HttpRequest &Request, const char *Part, std::size_t Depth) {
  return Request.Path.size() == Depth && Request.Path[0] == "v1" &&
         Request.Path[1] == "workspaces" && Request.Path[3] == Part;
}

/// Returns this thread's random generator for ids.
std::mt19937_64 &threadRandom() {
  thread_local std::mt19937_64 Random{std::random_device{}()};
  return Random;
}

void sendRouteError(HttpReply &Reply, const HttpRequest &Request,
                    HttpStatus Status, const std::string &Reason) {
  api::ErrorDocument Document;
  Document.set_error(
      fmt::format("{}: {}", Reason, printable(Request.Resource)));
  Document.set_step("route");
  Reply.send({.Status = Status, .Body = toJson(Document) + "\n"});
}

} // namespace

EntryHttp::EntryHttp(const Clock &Source, const NodeCatalog &Catalog,
                     const JobMetrics &Metrics, const LinkCounters &Links,
                     std::string Node, std::chrono::milliseconds WaitTimeout)
    : Source(Source), Catalog(Catalog), Metrics(Metrics), Links(Links),
      Node(std::move(Node)), WaitTimeout(WaitTimeout) {}

void EntryHttp::connect(EventLoop &NewLoop, JobService &NewService) {
  this->Loop = &NewLoop;
  this->Service = &NewService;
}

void EntryHttp::handle(const HttpRequest &Request,
                       std::shared_ptr<HttpReply> Reply) {
  if (Request.Path.size() == 1) {
    this->routeHealth(Request, *Reply);
  } else if (isUnder(Request, "jobs", JobsDepth)) {
    if (Request.Method == HttpMethod::Post)
      this->submit(Request, Reply);
    else
      sendRouteError(*Reply, Request, HttpStatus::MethodNotAllowed,
                     "expected POST");
  } else if (isUnder(Request, "jobs", JobDepth)) {
    if (Request.Method == HttpMethod::Get)
      this->query(Request, QueryKind::Status, Reply);
    else if (Request.Method == HttpMethod::Delete)
      this->query(Request, QueryKind::Cancel, Reply);
    else
      sendRouteError(*Reply, Request, HttpStatus::MethodNotAllowed,
                     "expected GET or DELETE");
  } else if (isUnder(Request, "report", ReportDepth)) {
    this->report(Request, *Reply);
  } else {
    sendRouteError(*Reply, Request, HttpStatus::NotFound, "no such resource");
  }
}

void EntryHttp::routeHealth(const HttpRequest &Request,
                            HttpReply &Reply) const {
  const std::string &Name = Request.Path[0];
  HttpAnswer Answer;
  Answer.ContentType = "text/plain; version=0.0.4";
  if (Name == "healthz") {
    Answer.Body = "ok\n";
  } else if (Name == "readyz") {
    bool Up = this->Ready.load();
    Answer.Status = Up ? HttpStatus::Ok : HttpStatus::Unavailable;
    Answer.Body = Up ? "ready\n" : "not ready\n";
  } else if (Name == "metrics") {
    Answer.Body = this->Metrics.text() + describeCounters(this->Links);
  } else {
    sendRouteError(Reply, Request, HttpStatus::NotFound, "no such resource");
    return;
  }
  Reply.send(Answer);
}

void EntryHttp::submit(const HttpRequest &Request,
                       const std::shared_ptr<HttpReply> &Reply) {
  const std::string &Workspace = Request.Path[2];
  api::SubmitRequest Document;
  JobRequest Job;
  std::optional<Rejection> Rejected = decodeSubmission(Request.Body, Document);
  if (!Rejected)
    Rejected = validateSubmission(Document, Workspace, *this->Catalog.view(),
                                  this->Source.now().Wall, threadRandom(), Job);
  if (Rejected) {
    Reply->send(answerFor(Workspace, *Rejected));
    return;
  }
  Ticket Number = ++this->LastTicket;
  this->Loop->post([this, Job = std::move(Job), Reply, Number](Instant Now) {
    this->addWaiter(
        Number, {Reply, Job.Workspace, Job.Id, Now.Steady + this->WaitTimeout});
    this->Service->submit(Job, Number, Now);
  });
}

void EntryHttp::query(const HttpRequest &Request, QueryKind Kind,
                      const std::shared_ptr<HttpReply> &Reply) {
  const std::string &Workspace = Request.Path[2];
  std::string Id = Request.Path[4];
  if (std::optional<JobId> Uuid = parseUuidV7(Id))
    Id = Uuid->Key;
  auto View = this->Catalog.view();
  if (std::optional<Rejection> Unconfigured = rejectUnconfigured(*View)) {
    Reply->send(answerFor(Workspace, *Unconfigured));
    return;
  }
  bool IsKnownWorkspace = View->findWorkspace(Workspace) != nullptr;
  if (!IsKnownWorkspace || !isPlainKey(Id)) {
    Reply->send(answerFor(
        Workspace,
        {HttpStatus::NotFound, "validate",
         IsKnownWorkspace ? "id: not an id" : "workspace: not found"}));
    return;
  }
  Ticket Number = ++this->LastTicket;
  this->Loop->post([this, Workspace, Id, Kind, Reply, Number](Instant Now) {
    this->addWaiter(Number,
                    {Reply, Workspace, Id, Now.Steady + this->WaitTimeout});
    this->Service->query(Workspace + "/" + Id, Kind, Number, Now);
  });
}

void EntryHttp::addWaiter(Ticket Number, Waiter New) {
  this->Waiting[Number] = std::move(New);
  this->WaitOrder.push_back(Number);
}

void EntryHttp::tick(TimePoint Now) {
  // All requests have the same timeout, so the oldest one times out first.
  while (!this->WaitOrder.empty()) {
    auto Oldest = this->Waiting.find(this->WaitOrder.front());
    if (Oldest != this->Waiting.end() && Now < Oldest->second.GiveUpAt)
      return;
    if (Oldest != this->Waiting.end())
      this->onOutcome(Oldest->first, nullptr);
    this->WaitOrder.pop_front();
  }
}

void EntryHttp::report(const HttpRequest &Request, HttpReply &Reply) const {
  api::WorkspaceReport Report =
      this->Metrics.report(printable(Request.Path[2]), this->Node);
  Reply.send({.Body = toJson(Report) + "\n"});
}

void EntryHttp::onOutcome(Ticket Ticket, const peer::JobOutcome *Outcome) {
  auto Found = this->Waiting.find(Ticket);
  if (Found == this->Waiting.end())
    return;
  Waiter Ended = std::move(Found->second);
  this->Waiting.erase(Found);
  if (Outcome != nullptr && Outcome->has_failure())
    this->Log.info("Job {}/{} failed at {} {}: {}.", Ended.Workspace, Ended.Id,
                   Outcome->failure().step(), Outcome->failure().peer(),
                   Outcome->failure().reason());
  else
    this->Log.debug("Job {}/{} is answered.", Ended.Workspace, Ended.Id);
  Ended.Reply->send(answerFor(Ended.Workspace, Ended.Id, Outcome));
}

} // namespace yardwheel
