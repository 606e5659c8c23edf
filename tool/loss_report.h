//===- tool/loss_report.h - Jobs that earned less than they could -*- C++ -*-=//
///
/// \file
/// Collects what became of jobs from the logs of all processes, and tells by
/// which decisions their value was lost.
///
/// A job that is named counts once, by its last outcome: a refused job that was
/// served later has lost nothing. Refusals that are only counted are all taken
/// to be lost.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TOOL_LOSS_REPORT_H
#define YARDWHEEL_TOOL_LOSS_REPORT_H

#include "tool/job_outcome.h"
#include "tool/load_history.h"
#include "tool/table_printer.h"
#include "tool/text_plot.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

/// What a job earns, by its route; 1 if none is stated.
using RouteWorth = std::map<std::string, double>;

/// Parses "ROUTE=VALUE" texts. \throws Error if one is wrong.
RouteWorth parseRouteWorth(const std::vector<std::string> &Texts);

class LossReport {
public:
  explicit LossReport(RouteWorth Worth) : Worth(std::move(Worth)) {}

  void add(const LogLine &Line);
  /// Must be called after the last line and before the tables.
  void conclude();

  TableRows byDecision() const;
  TableRows byRoute() const;
  TableRows byDataCentre() const;
  /// What refusals rested on, and whether there was time or room elsewhere.
  TableRows refusals() const;
  /// The value lost by time, with the decision that lost most.
  std::map<WallTime, PlotPoint> overTime() const;

private:
  struct Loss {
    double Value = 0;
    std::uint64_t Jobs = 0;
    std::map<JobOutcome, double> ByOutcome;

    void add(JobOutcome Outcome, std::uint64_t Count, double Worth);
    /// Returns the name of the decision that lost most.
    std::string greatest() const;
  };

  /// Leaves the events of entries that no other line counts as well.
  void dropRepeated();
  /// Adds what a delegate knew at a refusal that its entry passed on.
  void describeDelegated(const std::vector<OutcomeEvent> &OfAgents);
  double worthOf(const OutcomeEvent &Event) const;
  static TableRows lossTable(const std::string &Title,
                             const std::map<std::string, Loss> &Losses);

  RouteWorth Worth;
  LoadHistory Loads;
  std::vector<OutcomeEvent> Events;
  /// Processes that log counts of refusals by route.
  std::set<std::string> Counting;
  /// The losses, each of a job or of several that are counted together.
  std::vector<OutcomeEvent> Losses;
  std::uint64_t ServedInTime = 0;
};

} // namespace yardwheel

#endif
