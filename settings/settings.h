//===- settings/settings.h - Settings of a daemon ---------------*- C++ -*-===//
///
/// \file
/// The settings of one `yardwheeld` process: an aggregate filled by
/// parseSettings(). Defaults, units and ranges are defined in
/// settings_rules.cpp and documented in docs/OPERATORS.md.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_SETTINGS_SETTINGS_H
#define YARDWHEEL_SETTINGS_SETTINGS_H

#include "core/logger.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace yardwheel {

enum class NodeRole { Entry, Agent, Control };

/// A control replica as listed in the settings of every process.
struct ControlPeer {
  std::string Name;
  /// IP address and port for links from other processes.
  std::string Address;
  /// IP address and port of the operators' interface.
  std::string HttpAddress;
};

struct EntrySettings {
  std::string HttpListen;
  std::uint32_t HttpThreads = 0;
  std::uint32_t MaxBodyBytes = 0;
  std::uint32_t MaxJobs = 0;
  std::uint32_t MaxAnswersMb = 0;
  std::chrono::milliseconds HeaderTimeout{};
  std::chrono::milliseconds WaitTimeout{};
  std::chrono::milliseconds ClaimTimeout{};
  std::chrono::milliseconds MaxUnconfirmed{};
  std::chrono::milliseconds DrainTimeout{};
};

struct AgentSettings {
  std::string UpstreamUrl;
  std::string Pool;
  std::uint32_t Slots = 0;
  std::uint32_t Cpus = 0;
  std::uint32_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
  std::chrono::milliseconds TaskTimeout{};
  std::chrono::milliseconds Freshness{};
  std::chrono::milliseconds DrainTimeout{};
};

struct ControlSettings {
  std::string DataDir;
  std::string HttpListen;
  std::chrono::milliseconds ElectionTimeout{};
  std::chrono::milliseconds Lease{};
  std::chrono::milliseconds ProposalTimeout{};
  std::uint32_t EntriesPerSnapshot = 0;
  std::uint32_t HolderGroups = 0;
  std::chrono::milliseconds HolderReplaceAfter{};
};

struct Settings {
  std::string Cluster;
  std::string Node;
  NodeRole Role = NodeRole::Entry;
  std::string Listen;
  std::string DataCentre;
  std::string Rack;
  LogLevel Level = LogLevel::Info;
  std::chrono::milliseconds Heartbeat{};
  std::chrono::milliseconds ClockAllowance{};
  std::chrono::milliseconds LedgerRetention{};
  std::vector<ControlPeer> Controls;
  EntrySettings Entry;
  AgentSettings Agent;
  ControlSettings Control;
};

/// \returns the name of a role in settings and logs.
const char *roleName(NodeRole Role);

} // namespace yardwheel

#endif
