//===- tool/load_history.h - Load of the processes over time ----*- C++ -*-===//
///
/// \file
/// What log lines tell of the processes: their names, data centres and load.
/// Answers whether there was time or room elsewhere when a job was refused.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TOOL_LOAD_HISTORY_H
#define YARDWHEEL_TOOL_LOAD_HISTORY_H

#include "tool/log_line.h"

#include <map>

namespace yardwheel {

enum class LoggedRole { Unknown, Entry, Agent };

class LoadHistory {
public:
  /// Share of its processor time below which a process could have taken more.
  /// Above it, requests begin to wait for each other.
  static constexpr double MaxShareWithTime = 0.6;
  /// The same of the time in which its loop is busy. Smaller, as its other
  /// threads need time too.
  static constexpr double MaxBusyShareWithTime = 0.4;
  /// Share of the upstreams' room below which more jobs could have been placed:
  /// what tasks of several cores each leave unused.
  static constexpr double MaxShareWithRoom = 0.9;
  /// Maximum time between two load lines that tell the load in between. Several
  /// times the interval at which they are written.
  static constexpr std::chrono::milliseconds MaxGap{6000};

  void add(const LogLine &Line);

  LoggedRole role(const std::string &Process) const;
  /// Returns a process's data centre, or "?" if its log does not tell.
  std::string dataCentre(const std::string &Process) const;
  /// Whether a process of the role, other than \p Except, had processor time to
  /// spare; nothing if the logs do not tell.
  std::optional<bool> hadTime(LoggedRole Role, const std::string &Except,
                              WallTime At) const;
  /// Whether the upstreams had room; nothing if the logs do not tell.
  std::optional<bool> hadRoom(WallTime At) const;

private:
  struct Sample {
    std::int64_t ProcessorMillis = 0;
    /// Processor time that it may use, in percent of one processor.
    std::int64_t LimitPercent = 0;
    /// Share of the time in which its loop was busy, if the line tells it.
    std::optional<std::int64_t> BusyPercent;
    std::int64_t Room = 0;
    std::int64_t UsedRoom = 0;
    bool Ready = false;
  };
  struct Process {
    LoggedRole Role = LoggedRole::Unknown;
    std::string DataCentre;
    std::map<WallTime, Sample> Samples;
  };

  /// Whether it could have taken more; nothing if its log does not tell.
  static std::optional<bool> hadTime(const Process &Of, WallTime At);

  std::map<std::string, Process> Processes;
};

} // namespace yardwheel

#endif
