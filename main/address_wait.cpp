#include "main/address_wait.h"

#include "core/logger.h"

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds PollInterval{50};

/// Binds a socket as the servers do, which listen on addresses that can be
/// reused.
bool isInUse(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  if (::inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Local.sin_addr) !=
      1)
    return false;
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return false;
  int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  bool IsInUse =
      ::bind(Socket, reinterpret_cast<sockaddr *>(&Local), sizeof Local) != 0 &&
      errno == EADDRINUSE;
  ::close(Socket);
  return IsInUse;
}

/// Each role listens at some of its addresses only.
std::vector<std::string> withoutEmpty(std::vector<std::string> Addresses) {
  std::erase(Addresses, "");
  return Addresses;
}

} // namespace

std::vector<std::string> listenAddresses(const NodePlan &Plan) {
  return withoutEmpty({Plan.LinkListen, Plan.CallerListen, Plan.HealthListen,
                       Plan.ControlListen, Plan.MetricsListen});
}

std::vector<std::string> listenAddresses(const Settings &Values) {
  return withoutEmpty(
      {Values.Listen, Values.Entry.HttpListen, Values.Control.HttpListen});
}

void waitForAddresses(const std::vector<std::string> &Addresses,
                      std::chrono::milliseconds Timeout) {
  Logger Log("daemon");
  auto Began = std::chrono::steady_clock::now();
  for (const std::string &Address : Addresses) {
    if (!isInUse(Address))
      continue;
    Log.warning("{} is in use; this process waits for it.", Address);
    while (isInUse(Address)) {
      auto Waited = std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - Began);
      if (Waited >= Timeout)
        return;
      std::this_thread::sleep_for(PollInterval);
    }
  }
}

} // namespace yardwheel
