//===- coordination/first_contacts.h - Order of first contacts --*- C++ -*-===//
///
/// \file
/// Decides which agents a process that has just started contacts next.
///
/// Load pattern: after an outage, callers return while their entry connects to
/// all agents of its pools. At a tenth of a core, connecting to 70 agents takes
/// half a second, in which an entry that contacts all of them at once serves
/// nobody. A few agents near the callers are enough for the first jobs.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_FIRST_CONTACTS_H
#define YARDWHEEL_COORDINATION_FIRST_CONTACTS_H

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace yardwheel {

struct FirstContactOptions {
  /// Most agents that are contacted for the first time and have not answered
  /// yet; no limit if 0.
  std::uint32_t MaxUnanswered = 0;
  /// An agent that has not answered for this long no longer counts: it may be
  /// down. Longer than a connection to a busy agent takes.
  std::chrono::milliseconds AnswerTimeout{150};
  /// Agents of this data centre come first.
  std::string DataCentre;
};

/// An agent that has not been heard from.
struct FirstContact {
  std::string Agent;
  std::string DataCentre;
  /// When it was contacted; TimePoint::min() if it was not.
  TimePoint ContactedAt = TimePoint::min();
};

/// Returns the agents to contact now, of those that have not been heard from.
/// \param Seed Orders agents of one data centre, so that processes that start
/// together do not all contact the same ones.
std::vector<std::string>
chooseFirstContacts(const std::vector<FirstContact> &Unheard,
                    const FirstContactOptions &Options, std::uint64_t Seed,
                    TimePoint Now);

} // namespace yardwheel

#endif
