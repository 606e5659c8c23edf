#include "entry/answer_path.h"

#include "core/text.h"
#include "entry/job_metrics.h"
#include "http/json.h"

namespace yardwheel {

namespace {

const char *ranName(peer::Ran Ran) {
  switch (Ran) {
  case peer::RAN_NOT_RUN:
    return "not_run";
  case peer::RAN_SOMETHING:
    return "ran";
  default:
    return "unknown";
  }
}

HttpStatus statusFor(peer::FailureKind Kind) {
  switch (Kind) {
  case peer::FAILURE_LIMIT:
    return HttpStatus::TooManyRequests;
  case peer::FAILURE_NEVER_FITS:
    return HttpStatus::Unprocessable;
  case peer::FAILURE_DEADLINE:
    return HttpStatus::GatewayTimeout;
  case peer::FAILURE_CANCELLED:
  case peer::FAILURE_CONFLICT:
    return HttpStatus::Conflict;
  case peer::FAILURE_UNAVAILABLE:
    return HttpStatus::Unavailable;
  case peer::FAILURE_EXPIRED:
    return HttpStatus::Gone;
  case peer::FAILURE_IN_FUTURE:
    return HttpStatus::BadRequest;
  case peer::FAILURE_NOT_FOUND:
    return HttpStatus::NotFound;
  default:
    return HttpStatus::BadGateway;
  }
}

const char *adviceFor(const peer::JobFailure &Failure) {
  switch (Failure.kind()) {
  case peer::FAILURE_LIMIT:
  case peer::FAILURE_UNAVAILABLE:
    return "send it again with the same id after retry_after_ms";
  case peer::FAILURE_NEVER_FITS:
  case peer::FAILURE_IN_FUTURE:
  case peer::FAILURE_CONFLICT:
    return "correct the request; as it is, it will never be taken";
  case peer::FAILURE_NOT_FOUND:
    return "check the workspace and the id";
  default:
    break;
  }
  if (Failure.ran() == peer::RAN_NOT_RUN)
    return "nothing ran; it may be sent again under a new id";
  return "never send unrepeatable work again under a new id before checking "
         "what ran; repeatable work may be sent under a new id";
}

} // namespace

HttpAnswer answerFor(const std::string &Workspace, const std::string &Id,
                     const peer::JobOutcome *Outcome) {
  api::JobAnswer Document;
  HttpAnswer Answer;
  Document.set_id(Id);
  Document.set_workspace(Workspace);
  if (Outcome == nullptr) {
    Document.set_status("pending");
    Answer.Status = HttpStatus::Accepted;
  } else if (Outcome->complete()) {
    Document.set_status("complete");
    *Document.mutable_results() = Outcome->results();
  } else {
    const peer::JobFailure &Source = Outcome->failure();
    Document.set_status("failed");
    api::Failure *Failure = Document.mutable_failure();
    Failure->set_kind(failureName(Source.kind()));
    Failure->set_ran(ranName(Source.ran()));
    Failure->set_step(Source.step());
    Failure->set_peer(Source.peer());
    Failure->set_reason(Source.reason());
    Failure->set_retry_after_ms(
        static_cast<std::uint32_t>(Source.retry_after_ms()));
    Failure->set_task(Source.task());
    Failure->set_advice(adviceFor(Source));
    Answer.Status = statusFor(Source.kind());
    Answer.RetryAfter = std::chrono::milliseconds(Source.retry_after_ms());
  }
  Answer.Body = toJson(Document) + "\n";
  return Answer;
}

HttpAnswer answerFor(const std::string &Workspace, const Rejection &Rejected) {
  api::JobAnswer Document;
  Document.set_workspace(printable(Workspace));
  Document.set_status("failed");
  api::Failure *Failure = Document.mutable_failure();
  bool IsUnavailable = Rejected.Status == HttpStatus::Unavailable;
  Failure->set_kind(IsUnavailable                             ? "unavailable"
                    : Rejected.Status == HttpStatus::NotFound ? "not_found"
                                                              : "invalid");
  // An entry without a configuration can't tell what another entry has run.
  Failure->set_ran(IsUnavailable ? "unknown" : "not_run");
  Failure->set_step(Rejected.Step);
  Failure->set_reason(Rejected.Reason);
  Failure->set_task(-1);
  Failure->set_advice(
      IsUnavailable ? "send it again with the same id after retry_after_ms"
                    : "correct the request; as it is, it will never be taken");
  Failure->set_retry_after_ms(
      static_cast<std::uint32_t>(Rejected.RetryAfter.count()));
  HttpAnswer Answer;
  Answer.Status = Rejected.Status;
  Answer.RetryAfter = Rejected.RetryAfter;
  Answer.Body = toJson(Document) + "\n";
  return Answer;
}

} // namespace yardwheel
