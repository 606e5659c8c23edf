//===- agent/refusals.h - Reasons for refusals ------------------*- C++ -*-===//
///
/// \file
/// Reasons that an agent gives as proof that a task has not started. An entry
/// compares some of them with these texts.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_REFUSALS_H
#define YARDWHEEL_AGENT_REFUSALS_H

namespace yardwheel {

constexpr const char *StaleLoad = "the dispatch rests on old news";
constexpr const char *SlotsFull = "slots and queue are full";
constexpr const char *Leaving = "the upstream is leaving";
constexpr const char *DataCentreEvacuated =
    "the data centre is being evacuated";
constexpr const char *Withdrawn = "withdrawn before its start";
constexpr const char *UpstreamUnreachable = "the upstream refuses connections";
constexpr const char *UnsuitableWorker =
    "the worker is not what the task requires";
constexpr const char *WasFrozen = "the agent was stopped while it waited";

} // namespace yardwheel

#endif
