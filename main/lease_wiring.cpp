#include "main/lease_wiring.h"

#include "platform/node_settings.h"

namespace yardwheel {

void takeOverSeeds(
    EventLoop &Loop, const Logger &Log,
    const std::function<void(const std::vector<PeerRef> &Seeds)> &Take) {
  try {
    NodePlan New = platform::readNodeSettings();
    Loop.post([Take, New](Instant) { Take(seedPeers(New)); });
    Log.decision("reloaded", {{"seeds", New.Seeds.size()}});
  } catch (const std::exception &Problem) {
    Log.warning("The settings were not taken over: {}.", Problem.what());
  }
}

} // namespace yardwheel
