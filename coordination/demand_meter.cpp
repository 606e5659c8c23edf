#include "coordination/demand_meter.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace yardwheel {

double DemandMeter::fading(std::chrono::milliseconds Window, TimePoint Since,
                           TimePoint Now) {
  std::chrono::duration<double> Age = std::max(Now - Since, Duration(0));
  return std::exp(-Age / std::chrono::duration<double>(Window));
}

double DemandMeter::rate(double CoreMilliseconds,
                         std::chrono::milliseconds Window,
                         TimePoint Now) const {
  // Work is known since the start only, and hardly any right after it.
  TimePoint Since =
      std::min(this->Started, Now - Duration(this->Options.PresentWindow));
  std::chrono::duration<double> Averaged =
      Window * (1 - fading(Window, Since, Now));
  return CoreMilliseconds / Averaged.count();
}

void DemandMeter::add(const DemandPair &Pair, double CoreMilliseconds,
                      TimePoint Now) {
  if (this->Started == TimePoint::min())
    this->Started = Now;
  auto [Found, New] = this->Pairs.try_emplace(Pair);
  Work &Known = Found->second;
  Known.Present *= fading(this->Options.PresentWindow, Known.Updated, Now);
  Known.Usual *= fading(this->Options.UsualWindow, Known.Updated, Now);
  Known.Present += CoreMilliseconds;
  Known.Usual += CoreMilliseconds;
  Known.Updated = Now;
  if (New && this->Pairs.size() > this->Options.MaxPairs)
    this->dropSmallest(Pair, Now);
}

void DemandMeter::dropSmallest(const DemandPair &Kept, TimePoint Now) {
  auto Smallest = this->Pairs.end();
  double Least = 0;
  for (auto Item = this->Pairs.begin(); Item != this->Pairs.end(); ++Item) {
    if (Item->first == Kept)
      continue;
    double Usual = Item->second.Usual *
                   fading(this->Options.UsualWindow, Item->second.Updated, Now);
    if (Smallest != this->Pairs.end() && Usual >= Least)
      continue;
    Smallest = Item;
    Least = Usual;
  }
  if (Smallest != this->Pairs.end())
    this->Pairs.erase(Smallest);
}

ShareClaims DemandMeter::claims(TimePoint Now) const {
  const DemandMeterOptions &Times = this->Options;
  ShareClaims Claims;
  for (const auto &[Pair, Known] : this->Pairs) {
    double Usual = Known.Usual * fading(Times.UsualWindow, Known.Updated, Now);
    double Present =
        Known.Present * fading(Times.PresentWindow, Known.Updated, Now);
    Claims[Pair] = {this->rate(Usual, Times.UsualWindow, Now),
                    this->rate(Present, Times.PresentWindow, Now)};
  }
  return Claims;
}

std::vector<peer::RouteDemand> DemandMeter::report(TimePoint Now) const {
  std::vector<peer::RouteDemand> Rows;
  for (const auto &[Pair, Claim] : this->claims(Now)) {
    auto CpuMilli = static_cast<std::uint32_t>(std::lround(Claim.Demand));
    if (CpuMilli == 0)
      continue;
    peer::RouteDemand &Row = Rows.emplace_back();
    Row.set_route(Pair.Route);
    Row.set_data_centre(Pair.DataCentre);
    Row.set_cpu_milli(CpuMilli);
  }
  keepLargest(Rows, MaxReportedPairs);
  return Rows;
}

void keepLargest(std::vector<peer::RouteDemand> &Rows, std::size_t Count) {
  auto Pair = [](const peer::RouteDemand &Row) {
    return std::tie(Row.route(), Row.data_centre());
  };
  if (Rows.size() > Count) {
    std::ranges::sort(Rows, [&](const auto &First, const auto &Second) {
      return First.cpu_milli() != Second.cpu_milli()
                 ? First.cpu_milli() > Second.cpu_milli()
                 : Pair(First) < Pair(Second);
    });
    Rows.resize(Count);
  }
  std::ranges::sort(Rows, {}, Pair);
}

} // namespace yardwheel
