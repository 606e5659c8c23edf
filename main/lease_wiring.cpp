#include "main/lease_wiring.h"

#include "core/logger.h"
#include "http/metrics_page.h"
#include "platform/node_settings.h"

namespace yardwheel {

void reloadSeeds(
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

std::string describeProcess(LinkNode &Node, const HttpServer &Server,
                            MemoryReport &Memory,
                            std::vector<MemoryHolder> Holders,
                            const Logger &Log) {
  Holders.push_back({"links", Node.links().heapBytes()});
  Holders.push_back({"requests", Server.inputBytes()});
  Memory.check(Holders, Log);
  return Memory.metrics(Holders) +
         metricLine("yardwheel_http_connections", Server.connections()) +
         metricLine("yardwheel_processor_ms_total",
                    asMillis(Node.processorTime())) +
         Node.loop().meter().describe() +
         metricLine("yardwheel_loop_behind_ms_total",
                    asMillis(Node.loop().behindTime())) +
         metricLine("yardwheel_host_suspensions_total",
                    Node.loop().suspensions()) +
         metricLine("yardwheel_log_lines_dropped_total", Logger::dropped()) +
         Server.answers().describe() +
         describeCounters(Node.links().counters());
}

} // namespace yardwheel
