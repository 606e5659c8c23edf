#include "http/request_age.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace yardwheel {

namespace {

/// The coarsest resolution of the clock that records the arrival of data.
constexpr std::chrono::milliseconds HostClockResolution{10};

/// Returns true also if it is unknown.
bool mayHaveUnread(int Descriptor) {
  int Bytes = 0;
  return ::ioctl(Descriptor, FIONREAD, &Bytes) != 0 || Bytes > 0;
}

} // namespace

std::optional<RequestAge> findInputAge(int Descriptor) {
  tcp_info Known{};
  socklen_t Size = sizeof Known;
  if (::getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Known, &Size) != 0)
    return std::nullopt;
  // A host that does not record received data leaves zeros.
  bool IsAvailable = Size == sizeof Known && Known.tcpi_rcv_mss > 0;
  if (!IsAvailable)
    return std::nullopt;
  std::chrono::milliseconds Age(Known.tcpi_last_data_recv);
  RequestAge Result{std::max<Duration>(Age - HostClockResolution, Duration{0}),
                    {}};
  // Checked last, as input that has arrived meanwhile makes the age too low.
  if (!mayHaveUnread(Descriptor))
    Result.AtMost = Age + HostClockResolution;
  return Result;
}

} // namespace yardwheel
