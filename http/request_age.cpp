#include "http/request_age.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace yardwheel {

namespace {

/// Of the clock by which hosts note when data came, at the coarsest.
constexpr std::chrono::milliseconds HostTick{10};

/// Also if that cannot be known.
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
  // A host that keeps no account of what it receives leaves zeros.
  bool KeepsAccount = Size == sizeof Known && Known.tcpi_rcv_mss > 0;
  if (!KeepsAccount)
    return std::nullopt;
  std::chrono::milliseconds Age(Known.tcpi_last_data_recv);
  RequestAge Result{std::max<Duration>(Age - HostTick, Duration{0}), {}};
  // Looked at last: what has come meanwhile makes the age too low.
  if (!mayHaveUnread(Descriptor))
    Result.AtMost = Age + HostTick;
  return Result;
}

} // namespace yardwheel
