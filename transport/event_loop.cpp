#include "transport/event_loop.h"

#include <algorithm>
#include <utility>

namespace yardwheel {

namespace {

/// After this time without being idle, the loop polls for further events
/// without waiting, to find out whether it is idle. A poll costs a system call.
constexpr std::chrono::milliseconds IdlePollThreshold{40};

/// The number of polls that find no event before posted work is done. A poll
/// looks at one socket, which may have brought an acknowledgement only.
constexpr int PollsBeforeWork = 3;

/// The number of such polls after which no event counts as left.
constexpr int PollsBeforeIdle = 16;

/// The number of events after which posted work is done even if more are left.
constexpr std::uint32_t MaxEventsBeforeWork = 32;

/// Work that has waited for less than this does not keep a loop from counting
/// as idle: it has caught up with what came before.
constexpr std::chrono::milliseconds MaxIdleWait{60};

/// The time between two checks whether a loop with work left has caught up.
constexpr std::chrono::milliseconds IdleCheckInterval{20};

/// The weight of the latest interval in the mean of WorkInterval.
constexpr double IntervalWeight = 1.0 / 30;

/// After this time without being idle, the loop is behind. Twice the longest
/// such time observed in a process that keeps up.
constexpr std::chrono::milliseconds BehindThreshold{100};

/// The time after a stall that other threads need to read the input that
/// arrived during the stall.
constexpr std::chrono::milliseconds CatchUpTime{150};

/// The smallest difference of the clocks that counts as a suspension. They are
/// read one after the other; if the thread is preempted in between, they differ
/// by some milliseconds.
constexpr std::chrono::milliseconds MinSuspension{100};

/// A round that starts this long after the previous one is logged. Half of the
/// shortest lease that another process holds by renewals from this one.
constexpr std::chrono::milliseconds MinLoggedStall{400};

} // namespace

EventLoop::EventLoop(const Clock &Source, LoopWaiter &Waiter,
                     std::chrono::milliseconds Interval, Work Tick,
                     std::function<void()> Flush)
    : Source(Source), Waiter(Waiter), Interval(Interval), Tick(std::move(Tick)),
      Flush(std::move(Flush)), Meter(Source), LastIdle(Source.now().Steady),
      LastRoundAt(this->LastIdle.load()), IdleRunTime(Source.runTime()) {}

EventLoop::~EventLoop() { this->stop(); }

void EventLoop::start() {
  this->Thread = std::thread([this] { this->run(); });
}

void EventLoop::stop() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Waiter.wake();
  if (this->Thread.joinable())
    this->Thread.join();
}

void EventLoop::post(Work Item) {
  bool MustWake = false;
  {
    std::lock_guard Lock(this->Mutex);
    MustWake = std::exchange(this->MayWait, false);
    this->Items.push_back({this->Source.now().Steady, std::move(Item)});
  }
  if (MustWake)
    this->Waiter.wake();
}

Duration EventLoop::expectedWait() const {
  TimePoint Now = this->Source.now().Steady;
  std::lock_guard Lock(this->Mutex);
  if (this->Items.empty())
    return Duration{0};
  return std::max(Now - this->Items.front().At,
                  this->WorkInterval *
                      static_cast<std::int64_t>(this->Items.size()));
}

std::size_t EventLoop::workWaiting() const {
  std::lock_guard Lock(this->Mutex);
  return this->Items.size();
}

TimePoint EventLoop::lastBehind() const {
  TimePoint Now = this->Source.now().Steady;
  return Now - this->LastIdle.load() > BehindThreshold
             ? Now
             : this->LastBehind.load();
}

std::optional<TimePoint> EventLoop::backlogSince() const {
  TimePoint Now = this->Source.now().Steady;
  std::lock_guard Lock(this->Mutex);
  Stall Last = this->lastStall(Now);
  bool IsRead =
      Last.Until == TimePoint::min() || Now - Last.Until > CatchUpTime;
  return IsRead ? std::nullopt : std::optional(Last.Since);
}

Duration EventLoop::suspendedSince(TimePoint When) const {
  TimePoint Now = this->Source.now().Steady;
  std::lock_guard Lock(this->Mutex);
  Stall Last = this->lastStall(Now);
  return When < Last.Until ? Last.Suspended : Duration{0};
}

EventLoop::Stall EventLoop::lastStall(TimePoint Now) const {
  TimePoint Idle = this->LastIdle.load();
  if (Now - Idle <= BehindThreshold)
    return this->LastStall;
  // Input that arrived in a longer stall just before may also be unread.
  const Stall &Before = this->LastStall;
  bool Counts = Before.Until != TimePoint::min() &&
                Now - Before.Until <= CatchUpTime &&
                Before.Until - Before.Since > Now - Idle;
  if (Counts)
    return Before;
  Duration Ran = this->Source.runTime() - this->IdleRunTime;
  // The clocks are read one after the other, so the result may be negative.
  Duration Suspended = std::max(Now - Idle - Ran, Duration{0});
  return {Idle, Now, Suspended < MinSuspension ? Duration{0} : Suspended};
}

void EventLoop::noteIdle(TimePoint UpTo, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->LastStall = this->lastStall(Now);
  Duration SinceIdle = Now - this->LastIdle.load();
  if (SinceIdle > BehindThreshold) {
    this->LastBehind.store(Now);
    this->BehindMicros += SinceIdle.count();
  }
  this->LastIdle.store(UpTo);
  this->IdleRunTime = this->LastRunTime - (Now - UpTo);
}

void EventLoop::noteIdleIfCaughtUp(TimePoint Now) {
  std::optional<TimePoint> Oldest;
  {
    std::lock_guard Lock(this->Mutex);
    if (!this->Items.empty())
      Oldest = this->Items.front().At;
  }
  if (!Oldest) {
    this->noteIdle(Now, Now);
    return;
  }
  if (Now < this->NextIdleCheck || Now - *Oldest >= MaxIdleWait)
    return;
  this->NextIdleCheck = Now + IdleCheckInterval;
  if (this->isEveryEventHandled())
    this->noteIdle(*Oldest, Now);
}

bool EventLoop::isEveryEventHandled() {
  for (int I = PollsBeforeWork; I < PollsBeforeIdle; ++I)
    if (!this->Waiter.poll())
      return false;
  return true;
}

bool EventLoop::beginWait() {
  std::lock_guard Lock(this->Mutex);
  this->MayWait = this->Items.empty();
  return this->MayWait;
}

bool EventLoop::handleEvents(Duration MaxWait) {
  if (this->beginWait()) {
    this->EventsBeforeWork = 0;
    this->NoEventLeft = this->Waiter.wait(MaxWait);
    // The loop has just caught up, or has been woken for new work.
    return true;
  }
  this->NoEventLeft = true;
  for (int I = 0; I < PollsBeforeWork && this->NoEventLeft; ++I)
    this->NoEventLeft = this->Waiter.poll();
  if (!this->NoEventLeft && ++this->EventsBeforeWork < MaxEventsBeforeWork)
    return false;
  this->EventsBeforeWork = 0;
  return true;
}

bool EventLoop::takeWork(bool MayWork, TimePoint Now, Work &Item) {
  std::lock_guard Lock(this->Mutex);
  this->MayWait = false;
  if (this->Stopping)
    return false;
  if (!MayWork || this->Items.empty())
    return true;
  Item = std::move(this->Items.front().Item);
  this->Items.pop_front();
  if (this->LastTaken) {
    std::chrono::duration<double, std::micro> Mean =
        (1 - IntervalWeight) * this->WorkInterval +
        IntervalWeight * (Now - *this->LastTaken);
    this->WorkInterval = std::chrono::duration_cast<Duration>(Mean);
  }
  this->LastTaken.reset();
  if (!this->Items.empty())
    this->LastTaken = Now;
  return true;
}

void EventLoop::noteSuspension(TimePoint Now) {
  Duration RunTime = this->Source.runTime();
  Duration Suspended = (Now - this->LastRound) - (RunTime - this->LastRunTime);
  Duration Passed = Now - this->LastRound;
  this->LastRound = Now;
  this->LastRunTime = RunTime;
  if (Suspended < MinSuspension)
    return;
  ++this->Suspensions;
  this->Log.decision("host_suspended",
                     {{"suspended_ms", Suspended.count() / 1000},
                      {"since_last_round_ms", Passed.count() / 1000},
                      {"run_time_ms", (Passed - Suspended).count() / 1000}});
}

void EventLoop::noteStall(TimePoint Now) {
  Duration Passed = Now - this->LastRound;
  if (Passed < MinLoggedStall)
    return;
  this->Log.decision(
      "process_stalled",
      {{"since_last_round_ms", Passed.count() / 1000},
       {"since_idle_ms", (Now - this->LastIdle.load()).count() / 1000}});
}

void EventLoop::run() {
  TimePoint NextTick = this->Source.now().Steady;
  Duration MaxWait{0};
  this->LastRound = NextTick;
  this->LastRunTime = this->Source.runTime();
  while (true) {
    this->Meter.beginRound();
    bool MayWork = this->handleEvents(MaxWait);
    this->Meter.endPart(LoopPart::Events);
    Instant Now = this->Source.now();
    this->LastRoundAt.store(Now.Steady);
    this->noteStall(Now.Steady);
    this->noteSuspension(Now.Steady);
    if (this->NoEventLeft)
      this->noteIdleIfCaughtUp(Now.Steady);
    Work Item;
    if (!this->takeWork(MayWork, Now.Steady, Item))
      return;
    if (Item)
      Item(Now);
    this->Meter.endPart(LoopPart::Work);
    if (Now.Steady >= NextTick) {
      this->Tick(Now);
      NextTick = this->Source.now().Steady + this->Interval;
    }
    this->Meter.endPart(LoopPart::Tick);
    this->Flush();
    this->Meter.endPart(LoopPart::Flush);
    bool RecentlyIdle = Now.Steady - this->LastIdle.load() < IdlePollThreshold;
    MaxWait = RecentlyIdle
                  ? std::max(NextTick - this->Source.now().Steady, Duration{0})
                  : Duration{0};
  }
}

} // namespace yardwheel
