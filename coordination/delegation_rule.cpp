#include "coordination/delegation_rule.h"

#include <algorithm>

namespace yardwheel {

DelegationRuleOptions delegationRuleAt(double HighLoad,
                                       std::uint32_t MaxDelegates) {
  DelegationRuleOptions Options;
  double Ratio = HighLoad / Options.HighLoad;
  Options.MaxDelegates = MaxDelegates;
  Options.HighLoad = HighLoad;
  Options.PrepareAt *= Ratio;
  Options.ReleaseBelow *= Ratio;
  Options.LowLoad *= Ratio;
  return Options;
}

void DelegationRule::update(const EntryLoad &Load, TimePoint Now) {
  if (this->Options.MaxDelegates == 0 || Now < this->NextAdjustment)
    return;
  this->NextAdjustment = Now + this->Options.AdjustInterval;
  this->updateWanted(Load, Now);
  bool IsShort = Load.ProcessorShare >= this->Options.HighLoad ||
                 Load.ExpectedWait >= this->Options.HighWait;
  bool HasReserve = Load.ProcessorShare < this->Options.LowLoad &&
                    Load.ExpectedWait < this->Options.HighWait;
  if (this->Wanted == 0)
    this->Share = 0;
  else if (IsShort)
    this->Share = std::min(1.0, this->Share + this->Options.RaiseStep);
  else if (HasReserve)
    this->Share = std::max(0.0, this->Share - this->Options.LowerStep);
}

void DelegationRule::updateWanted(const EntryLoad &Load, TimePoint Now) {
  bool IsNeeded = !this->HasStarted ||
                  Load.ProcessorShare >= this->Options.PrepareAt ||
                  Load.ExpectedWait >= this->Options.HighWait;
  this->HasStarted = true;
  if (IsNeeded || Load.ProcessorShare >= this->Options.ReleaseBelow)
    this->LastNeeded = Now;
  if (IsNeeded && this->Wanted == 0)
    this->Wanted = 1;
  // One that has just been asked has no view of the pool yet.
  bool DelegatesShort = Load.ReadyDelegates >= this->Wanted &&
                        Load.DelegateShare >= this->Options.MaxDelegateLoad;
  if (this->Share > 0 && DelegatesShort)
    this->Wanted = std::min(this->Wanted + 1, this->Options.MaxDelegates);
  if (this->Wanted > 0 && Now - this->LastNeeded >= this->Options.ReleaseAfter)
    this->Wanted = 0;
}

} // namespace yardwheel
