//===- Commands on jobs ---------------------------------------------------===//

#include "http/json.h"
#include "protocol/api.pb.h"
#include "tool/commands.h"

#include <fmt/format.h>
#include <thread>

namespace yardwheel {

namespace {

constexpr long HttpOk = 200;
constexpr long HttpAccepted = 202;

std::string jobPath(const CommandLine &Line) {
  return fmt::format("/v1/workspaces/{}/jobs/{}", Line.Words[0], Line.Words[1]);
}

/// Prints a job's response. A declared job failure is a valid response.
/// \returns the exit code, JobFailed for a declared failure unless its status
/// has a more precise one.
ExitCode printAnswer(ApiClient &Client, const HttpResult &Answer) {
  if (Answer.Status == 0) {
    fmt::print(stderr, "yardwheelctl: no answer: {}\n", Answer.Problem);
    return ExitCode::Unavailable;
  }
  api::JobAnswer Document;
  std::string Wrong = fromJson(Answer.Body, Document);
  if (!Wrong.empty()) {
    fmt::print(stderr, "yardwheelctl: status {}: {}\n", Answer.Status,
               Answer.Body);
    return exitCodeFor(Answer.Status);
  }
  bool Failed = Document.status() == "failed";
  if (Client.options().Json) {
    fmt::print("{}", Answer.Body);
  } else if (!Failed) {
    fmt::print("job {}: {}\n", Document.id(), Document.status());
    for (int I = 0; I < Document.results_size(); ++I)
      fmt::print("  task {}: {}\n", I, Document.results(I));
  } else {
    const api::Failure &Failure = Document.failure();
    fmt::print("job {}: failed ({}, {}) at {} {}: {}\n  {}\n", Document.id(),
               Failure.kind(), Failure.ran(), Failure.step(), Failure.peer(),
               Failure.reason(), Failure.advice());
  }
  if (!Failed)
    return ExitCode::Ok;
  ExitCode Code = exitCodeFor(Answer.Status);
  bool Precise = Code == ExitCode::Usage || Code == ExitCode::NotFound;
  return Precise ? Code : ExitCode::JobFailed;
}

/// Polls for a job's response until it is final.
HttpResult pollUntilFinal(ApiClient &Client, const std::string &Workspace,
                          HttpResult Answer) {
  constexpr std::chrono::milliseconds Pause{200};
  while (Answer.Status == HttpAccepted) {
    api::JobAnswer Document;
    if (!fromJson(Answer.Body, Document).empty())
      break;
    std::this_thread::sleep_for(Pause);
    Answer = Client.entry("GET", fmt::format("/v1/workspaces/{}/jobs/{}",
                                             Workspace, Document.id()));
  }
  return Answer;
}

} // namespace

ExitCode submitJob(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line =
      expectWords(Rest, 2, {"id"}, "job submit WORKSPACE FILE [--id UUID]");
  api::SubmitRequest Document;
  std::string Wrong = fromJson(readFile(Line.Words[1]), Document);
  if (!Wrong.empty()) {
    fmt::print(stderr, "{}: {}\n", Line.Words[1], Wrong);
    return ExitCode::Usage;
  }
  // An id makes it safe to resend the submission to another entry.
  if (Document.id().empty())
    Document.set_id(Line.get("id", newId()));
  std::string Path = fmt::format("/v1/workspaces/{}/jobs", Line.Words[0]);
  HttpResult Answer = Client.entry("POST", Path, toJson(Document));
  return printAnswer(Client,
                     pollUntilFinal(Client, Line.Words[0], std::move(Answer)));
}

ExitCode showJob(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line = expectWords(Rest, 2, {}, "job show WORKSPACE ID");
  return printAnswer(Client, Client.entry("GET", jobPath(Line)));
}

ExitCode cancelJob(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line = expectWords(Rest, 2, {}, "job cancel WORKSPACE ID");
  HttpResult Answer = Client.entry("DELETE", jobPath(Line));
  api::JobAnswer Document;
  bool Cancelled = fromJson(Answer.Body, Document).empty() &&
                   Document.failure().kind() == "cancelled";
  ExitCode Code = printAnswer(Client, Answer);
  return Cancelled || Answer.Status == HttpOk ? ExitCode::Ok : Code;
}

} // namespace yardwheel
