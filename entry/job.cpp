#include "entry/job.h"

#include <algorithm>

namespace yardwheel {

peer::Ran Job::ran() const {
  if (this->AnythingRan)
    return peer::RAN_SOMETHING;
  bool MayHave = std::any_of(this->States.begin(), this->States.end(),
                             [](const TaskState &Task) {
                               return Task.Phase == TaskPhase::Sent ||
                                      Task.Phase == TaskPhase::Started;
                             });
  return MayHave ? peer::RAN_UNKNOWN : peer::RAN_NOT_RUN;
}

peer::JobOutcome failureOutcome(const FailureSpec &Spec) {
  peer::JobOutcome Outcome;
  peer::JobFailure *Failure = Outcome.mutable_failure();
  Failure->set_kind(Spec.Kind);
  Failure->set_ran(Spec.Ran);
  Failure->set_step(Spec.Step);
  Failure->set_peer(Spec.Peer);
  Failure->set_reason(Spec.Reason);
  Failure->set_retry_after_ms(Spec.RetryAfter.count());
  Failure->set_task(Spec.Task);
  return Outcome;
}

FailureSpec idConflict() {
  FailureSpec Failure;
  Failure.Kind = peer::FAILURE_CONFLICT;
  Failure.Ran = peer::RAN_NOT_RUN;
  Failure.Step = "claim";
  Failure.Reason = "the id was submitted before with other content";
  return Failure;
}

FailureSpec answerExpired() {
  FailureSpec Failure;
  Failure.Kind = peer::FAILURE_EXPIRED;
  Failure.Ran = peer::RAN_SOMETHING;
  Failure.Step = "answer";
  Failure.Reason = "the job has ended and its answer is no longer kept";
  return Failure;
}

} // namespace yardwheel
