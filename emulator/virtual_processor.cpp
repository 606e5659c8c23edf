#include "emulator/virtual_processor.h"

#include <algorithm>
#include <utility>

namespace yardwheel {

namespace {

/// The weight of the latest interval in the mean of LastsInterval, as one of
/// this many.
constexpr int IntervalParts = 30;

} // namespace

bool VirtualProcessor::isIdle() const {
  return !this->Runs && this->Parts.empty() && this->Others.empty() &&
         this->Lasts.empty();
}

TimePoint VirtualProcessor::lastIdle() const {
  return this->isIdle() ? this->World.now().Steady : this->LastIdle;
}

void VirtualProcessor::run(Duration Cost, Action Item) {
  this->add(this->Others, Cost, std::move(Item));
}

void VirtualProcessor::runLast(Duration Cost, Action Item) {
  this->add(this->Lasts, Cost, std::move(Item));
}

void VirtualProcessor::runNext(Duration Cost, Action Item) {
  this->add(this->Parts, Cost, std::move(Item));
}

Duration VirtualProcessor::expectedWait() const {
  if (this->Lasts.empty())
    return Duration{0};
  return std::max(this->World.now().Steady - this->Lasts.front().Since,
                  this->LastsInterval *
                      static_cast<std::int64_t>(this->Lasts.size()));
}

void VirtualProcessor::add(std::deque<Waiting> &Queue, Duration Cost,
                           Action Item) {
  this->Busy += Cost;
  if (this->isIdle()) {
    this->LastIdle = this->World.now().Steady;
    if (Cost.count() == 0) {
      Item();
      return;
    }
  }
  Queue.push_back({Cost, std::move(Item), this->World.now().Steady});
  this->startNext();
}

void VirtualProcessor::startNext() {
  if (this->Runs || this->isIdle())
    return;
  std::deque<Waiting> &Rest = this->Others.empty() ? this->Lasts : this->Others;
  std::deque<Waiting> &Queue = this->Parts.empty() ? Rest : this->Parts;
  this->Runs = true;
  Waiting Next = std::move(Queue.front());
  Queue.pop_front();
  if (&Queue == &this->Lasts)
    this->noteLast();
  this->World.after(Next.Cost, [this, Item = std::move(Next.Item)] {
    this->Runs = false;
    Item();
    this->startNext();
  });
}

void VirtualProcessor::noteLast() {
  TimePoint Now = this->World.now().Steady;
  if (this->LastBegan)
    this->LastsInterval =
        ((IntervalParts - 1) * this->LastsInterval + (Now - *this->LastBegan)) /
        IntervalParts;
  this->LastBegan.reset();
  if (!this->Lasts.empty())
    this->LastBegan = Now;
}

} // namespace yardwheel
