//===- main/wiring.h - Wiring shared by the roles ---------------*- C++ -*-===//
#ifndef YARDWHEEL_MAIN_WIRING_H
#define YARDWHEEL_MAIN_WIRING_H

#include "core/clock.h"
#include "membership/announcer.h"
#include "settings/settings.h"
#include "transport/link_pool.h"

#include <chrono>
#include <functional>
#include <thread>

namespace yardwheel {

/// Interval between ticks of the decision code.
constexpr std::chrono::milliseconds TickInterval{5};

/// Returns an incarnation number that is greater after every restart of a
/// process: the wall time in microseconds.
inline std::uint64_t newIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

inline LinkIdentity identityOf(const Settings &Values, peer::Role Role,
                               std::uint64_t Incarnation) {
  return {Values.Cluster, Role, Values.Node, Values.Listen, Incarnation};
}

inline AnnouncerOptions announcerOptions(const Settings &Values) {
  AnnouncerOptions Options;
  Options.Interval = Values.Heartbeat;
  for (const ControlPeer &Known : Values.Controls)
    Options.Controls.push_back({Known.Name, Known.Address});
  return Options;
}

/// Returns the member table fields that all roles announce.
inline peer::Member memberOf(const Settings &Values, peer::Role Role,
                             std::uint64_t Incarnation) {
  peer::Member Self;
  Self.set_name(Values.Node);
  Self.set_role(Role);
  Self.set_incarnation(Incarnation);
  Self.set_address(Values.Listen);
  Self.set_data_centre(Values.DataCentre);
  Self.set_rack(Values.Rack);
  Self.set_state(peer::MEMBER_ALIVE);
  return Self;
}

/// Passes heartbeat replies to the announcer and all other messages of an
/// envelope to the role's core.
template <typename Core>
void deliver(const peer::Envelope &Envelope, Announcer &Announce, Core &Target,
             Instant Now) {
  PeerRef From{Envelope.sender(), Envelope.sender_address(),
               Envelope.sender_incarnation()};
  Announce.noteRevision(Envelope.revision(), Now);
  for (const peer::Message &Message : Envelope.messages()) {
    if (Message.has_heartbeat_reply())
      Announce.onReply(Message.heartbeat_reply(), Now);
    else
      Target.onMessage(From, Message, Now);
  }
}

/// Polls until \p Done returns true, for at most \p Limit.
/// \returns the last result of \p Done.
inline bool waitUntil(std::chrono::milliseconds Limit,
                      const std::function<bool()> &Done) {
  constexpr std::chrono::milliseconds Pause{10};
  auto End = BootClock::now() + Limit;
  while (BootClock::now() < End) {
    if (Done())
      return true;
    std::this_thread::sleep_for(Pause);
  }
  return Done();
}

} // namespace yardwheel

#endif
