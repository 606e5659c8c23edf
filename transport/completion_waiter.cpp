#include "transport/completion_waiter.h"

namespace yardwheel {

CompletionWaiter::CompletionWaiter(std::unique_ptr<grpc::CompletionQueue> Queue)
    : Queue(std::move(Queue)) {}

void CompletionWaiter::shutDown() {
  if (this->IsShutDown)
    return;
  this->IsShutDown = true;
  this->Alarm.Cancel();
  this->Queue->Shutdown();
  void *Tag = nullptr;
  bool Ok = false;
  while (this->Queue->Next(&Tag, &Ok))
    static_cast<CompletionTag *>(Tag)->onShutDown();
}

bool CompletionWaiter::wait(Duration MaxWait) {
  // Uses the monotonic clock, since the wall clock may jump.
  BootClock::time_point Began = BootClock::now();
  bool Ok = false;
  CompletionTag *Tag = this->next(
      gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC),
                   gpr_time_from_micros(MaxWait.count(), GPR_TIMESPAN)),
      Ok);
  this->Waited +=
      std::chrono::duration_cast<Duration>(BootClock::now() - Began);
  if (Tag != nullptr)
    Tag->onCompletion(Ok);
  return Tag == nullptr;
}

bool CompletionWaiter::poll() {
  // The present time would be rounded up, and this thread might sleep.
  bool Ok = false;
  CompletionTag *Tag = this->next(gpr_inf_past(GPR_CLOCK_MONOTONIC), Ok);
  if (Tag != nullptr)
    Tag->onCompletion(Ok);
  return Tag == nullptr;
}

CompletionTag *CompletionWaiter::next(gpr_timespec Deadline, bool &Ok) {
  void *Tag = nullptr;
  auto Status = this->Queue->AsyncNext(&Tag, &Ok, Deadline);
  return Status == grpc::CompletionQueue::GOT_EVENT
             ? static_cast<CompletionTag *>(Tag)
             : nullptr;
}

void CompletionWaiter::wake() {
  // A single pending wake-up is enough.
  if (!this->WakeUp.Pending.exchange(true))
    // A time in the past completes the alarm on this thread. The current time
    // is rounded up to the next millisecond, at which a timer thread would wake
    // up to complete it.
    this->Alarm.Set(this->Queue.get(), gpr_inf_past(GPR_CLOCK_MONOTONIC),
                    static_cast<CompletionTag *>(&this->WakeUp));
}

} // namespace yardwheel
