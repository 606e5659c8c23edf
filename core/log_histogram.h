//===- core/log_histogram.h - Logarithmic histogram -------------*- C++ -*-===//
///
/// \file
/// A histogram with bins of equal width on a logarithmic axis, with output in
/// Prometheus' text format. Not thread-safe.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_LOG_HISTOGRAM_H
#define YARDWHEEL_CORE_LOG_HISTOGRAM_H

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace yardwheel {

class LogHistogram {
public:
  struct Cell {
    double Upper = 0;
    std::uint32_t Count = 0;
  };

  /// \param Low Smaller values are counted as \p Low.
  LogHistogram(int Bins, double Low, double High);

  void add(double Value);
  LogHistogram &operator+=(const LogHistogram &Other);

  /// Returns the non-empty bins, without underflow and overflow.
  std::vector<Cell> cells() const;
  /// Returns buckets, sum and count. \param Labels For example `route="r"`.
  std::string text(const std::string &Name, const std::string &Labels) const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis(1, 1, 2)));

  double Low;
  Histogram Inner;
};

} // namespace yardwheel

#endif
