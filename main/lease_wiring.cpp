#include "main/lease_wiring.h"

#include "platform/node_settings.h"

namespace yardwheel {

void takeOverSeeds(Announcer &Announce, EventLoop &Loop, const Logger &Log) {
  try {
    NodePlan New = platform::readNodeSettings();
    Loop.post(
        [&Announce, New](Instant) { Announce.addControls(seedPeers(New)); });
    Log.decision("reloaded", {{"seeds", New.Seeds.size()}});
  } catch (const std::exception &Problem) {
    Log.warning("The settings were not taken over: {}.", Problem.what());
  }
}

} // namespace yardwheel
