#include "core/error.h"

#include <fmt/format.h>

namespace yardwheel {

namespace {

std::string describe(const std::string &Step, const std::string &Peer,
                     const std::string &Reason) {
  if (Peer.empty())
    return fmt::format("{}: {}", Step, Reason);
  return fmt::format("{} ({}): {}", Step, Peer, Reason);
}

} // namespace

Error::Error(std::string Step, std::string Peer, const std::string &Reason)
    : std::runtime_error(describe(Step, Peer, Reason)), Step(std::move(Step)),
      Peer(std::move(Peer)) {}

} // namespace yardwheel
