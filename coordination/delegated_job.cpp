#include "coordination/delegated_job.h"

namespace yardwheel {

namespace {

std::uint32_t millisOf(std::chrono::milliseconds Value) {
  return Value.count() > 0 ? static_cast<std::uint32_t>(Value.count()) : 0;
}

peer::DelegatedEnd encodeEnd(LeasedEnd End) {
  switch (End) {
  case LeasedEnd::Completed:
    return peer::DELEGATED_COMPLETED;
  case LeasedEnd::Failed:
    return peer::DELEGATED_FAILED;
  case LeasedEnd::NotRun:
    return peer::DELEGATED_NOT_RUN;
  case LeasedEnd::Unknown:
    return peer::DELEGATED_UNKNOWN;
  }
  return peer::DELEGATED_UNKNOWN;
}

LeasedEnd decodeEnd(peer::DelegatedEnd End) {
  switch (End) {
  case peer::DELEGATED_COMPLETED:
    return LeasedEnd::Completed;
  case peer::DELEGATED_FAILED:
    return LeasedEnd::Failed;
  case peer::DELEGATED_NOT_RUN:
    return LeasedEnd::NotRun;
  default:
    return LeasedEnd::Unknown;
  }
}

} // namespace

peer::DelegatedJob encodeDelegatedJob(const LeasedJobRequest &Request) {
  peer::DelegatedJob Job;
  Job.set_id(Request.Id);
  Job.set_route(Request.Route);
  Job.set_priority(Request.Priority);
  Job.set_pool(Request.Pool);
  Job.set_spec(Request.Spec);
  Job.set_task_count(Request.TaskCount);
  *Job.mutable_needs() = Request.Needs;
  Job.set_estimate_ms(millisOf(Request.Estimate));
  Job.set_required_label(Request.RequiredLabel);
  Job.set_preferred_rack(Request.PreferredRack);
  Job.set_max_per_worker(Request.MaxPerWorker);
  Job.set_max_attempts(Request.MaxAttempts);
  Job.set_objective_ms(millisOf(Request.Objective));
  Job.set_deadline_ms(millisOf(Request.Deadline));
  Job.set_data_centre(Request.DataCentre);
  return Job;
}

LeasedJobRequest decodeDelegatedJob(const peer::DelegatedJob &Job) {
  LeasedJobRequest Request;
  Request.Id = Job.id();
  Request.Route = Job.route();
  Request.Priority = Job.priority();
  Request.Pool = Job.pool();
  Request.Spec = Job.spec();
  Request.TaskCount = Job.task_count();
  Request.Needs = Job.needs();
  Request.Estimate = std::chrono::milliseconds(Job.estimate_ms());
  Request.RequiredLabel = Job.required_label();
  Request.PreferredRack = Job.preferred_rack();
  Request.MaxPerWorker = Job.max_per_worker();
  Request.MaxAttempts = Job.max_attempts();
  Request.Objective = std::chrono::milliseconds(Job.objective_ms());
  Request.Deadline = std::chrono::milliseconds(Job.deadline_ms());
  Request.DataCentre = Job.data_centre();
  return Request;
}

peer::DelegatedAnswer encodeDelegatedAnswer(const LeasedAnswer &Answer) {
  peer::DelegatedAnswer Encoded;
  Encoded.set_end(encodeEnd(Answer.End));
  Encoded.set_step(Answer.Step);
  Encoded.set_peer(Answer.Peer);
  Encoded.set_reason(Answer.Reason);
  Encoded.set_retry_after_ms(millisOf(Answer.RetryAfter));
  return Encoded;
}

LeasedAnswer decodeDelegatedAnswer(const peer::DelegatedAnswer &Answer) {
  return {decodeEnd(Answer.end()), Answer.step(), Answer.peer(),
          Answer.reason(), std::chrono::milliseconds(Answer.retry_after_ms())};
}

} // namespace yardwheel
