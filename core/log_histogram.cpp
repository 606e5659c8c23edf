#include "core/log_histogram.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

LogHistogram::LogHistogram(int Bins, double Low, double High)
    : Low(Low), Inner(boost::histogram::make_histogram(Axis(Bins, Low, High))) {
}

void LogHistogram::add(double Value) {
  // Rounding must not put a value below the start of the first bin.
  this->Inner(std::max(Value, this->Low));
}

LogHistogram &LogHistogram::operator+=(const LogHistogram &Other) {
  this->Inner += Other.Inner;
  return *this;
}

std::vector<LogHistogram::Cell> LogHistogram::cells() const {
  std::vector<Cell> Found;
  for (auto &&Bin : boost::histogram::indexed(this->Inner))
    if (*Bin != 0)
      Found.push_back({Bin.bin().upper(), static_cast<std::uint32_t>(*Bin)});
  return Found;
}

std::string LogHistogram::text(const std::string &Name,
                               const std::string &Labels) const {
  std::string Text;
  double Total = 0;
  double Sum = 0;
  for (auto &&Bin : boost::histogram::indexed(
           this->Inner, boost::histogram::coverage::all)) {
    Total += *Bin;
    Sum += *Bin * Bin.bin().lower();
    if (*Bin != 0 && Bin.index() < this->Inner.axis(0).size())
      Text += fmt::format("{}_bucket{{{},le=\"{:.4g}\"}} {}\n", Name, Labels,
                          Bin.bin().upper(), Total);
  }
  Text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", Name, Labels, Total);
  Text += fmt::format("{}_sum{{{}}} {:.6g}\n", Name, Labels, Sum);
  Text += fmt::format("{}_count{{{}}} {}\n", Name, Labels, Total);
  return Text;
}

} // namespace yardwheel
