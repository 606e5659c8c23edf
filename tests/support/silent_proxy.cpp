#include "tests/support/silent_proxy.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace yardwheel {

namespace {

constexpr int PollMs = 5;
constexpr int Backlog = 64;
constexpr std::size_t ChunkBytes = 65536;

sockaddr_in addressOf(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1))));
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr);
  return Address;
}

void sendAtOnce(int Socket) {
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

} // namespace

SilentProxy::SilentProxy(const std::string &Listen, std::string Target)
    : Target(std::move(Target)), Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
  int On = 1;
  setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Address = addressOf(Listen);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  bool Bound = ::bind(this->Listener, Generic, sizeof Address) == 0 &&
               ::listen(this->Listener, Backlog) == 0;
  if (!Bound)
    throw std::runtime_error("the proxy cannot listen at " + Listen);
  this->Thread = std::thread([this] { this->run(); });
}

SilentProxy::~SilentProxy() {
  this->Stopping.store(true);
  this->Thread.join();
  for (const Pair &Open : this->Pairs)
    close(Open);
  ::close(this->Listener);
}

void SilentProxy::silence() {
  this->SilenceRequested.store(true);
  while (this->SilenceRequested.load())
    std::this_thread::sleep_for(std::chrono::milliseconds(PollMs));
}

void SilentProxy::close(const Pair &Open) {
  ::close(Open.Client);
  ::close(Open.Server);
}

void SilentProxy::accept() {
  Pair New;
  New.Client = ::accept(this->Listener, nullptr, nullptr);
  New.Server = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = addressOf(this->Target);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (::connect(New.Server, Generic, sizeof Address) != 0) {
    close(New);
    return;
  }
  sendAtOnce(New.Client);
  sendAtOnce(New.Server);
  ++this->Accepted;
  this->Pairs.push_back(New);
}

bool SilentProxy::pump(int From, int To, bool Silent) {
  char Buffer[ChunkBytes];
  ssize_t Count = ::recv(From, Buffer, sizeof Buffer, MSG_DONTWAIT);
  if (Count <= 0)
    return false;
  if (!Silent)
    ::send(To, Buffer, static_cast<std::size_t>(Count), MSG_NOSIGNAL);
  return true;
}

void SilentProxy::run() {
  while (!this->Stopping.load()) {
    if (this->SilenceRequested.load()) {
      for (Pair &Open : this->Pairs)
        Open.Silent = true;
      this->SilenceRequested.store(false);
    }
    std::vector<pollfd> Sockets = {{this->Listener, POLLIN, 0}};
    for (const Pair &Open : this->Pairs) {
      Sockets.push_back({Open.Client, POLLIN, 0});
      Sockets.push_back({Open.Server, POLLIN, 0});
    }
    ::poll(Sockets.data(), Sockets.size(), PollMs);
    std::size_t Known = this->Pairs.size();
    std::vector<bool> Closed(Known, false);
    for (std::size_t I = 0; I < Known; ++I) {
      const Pair &Open = this->Pairs[I];
      bool FromClient = Sockets[2 * I + 1].revents != 0;
      bool FromServer = Sockets[2 * I + 2].revents != 0;
      if (FromClient && !pump(Open.Client, Open.Server, Open.Silent))
        Closed[I] = true;
      if (FromServer && !pump(Open.Server, Open.Client, Open.Silent))
        Closed[I] = true;
    }
    for (std::size_t I = Known; I-- > 0;) {
      if (!Closed[I])
        continue;
      close(this->Pairs[I]);
      this->Pairs.erase(this->Pairs.begin() + static_cast<std::ptrdiff_t>(I));
    }
    if (Sockets[0].revents != 0)
      this->accept();
  }
}

} // namespace yardwheel
