#include "tests/system/soak_link.h"

#include "tests/system/soak_socket.h"

#include <algorithm>
#include <cerrno>
#include <fmt/format.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace yardwheel {

namespace {

constexpr int PollMs = 2;
constexpr int Backlog = 64;
constexpr std::size_t ChunkBytes = 65536;
/// The rest of an address that was cut in two comes within this.
constexpr std::chrono::milliseconds RestWithin{10};

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

} // namespace

SoakLink::SoakLink(const std::string &Net, int Host, int Port)
    : Pattern(fmt::format("{}.1##:{}", Net, Port)), FirstDigit(Net.size() + 1),
      Target(fmt::format("{}.{}:{}", Net, Host, Port)), Listener(openSocket()) {
  sockaddr_in Address =
      socketAddress(fmt::format("{}.{}:{}", Net, Host + SoakProxyOffset, Port));
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  bool Bound = ::bind(this->Listener, Generic, sizeof Address) == 0 &&
               ::listen(this->Listener, Backlog) == 0;
  if (!Bound)
    throw std::runtime_error("the proxy before " + this->Target +
                             " cannot listen");
  this->Thread = std::thread([this] { this->run(); });
}

SoakLink::~SoakLink() {
  this->Stopping.store(true);
  this->Thread.join();
  for (Pair &Open : this->Pairs)
    Open.Closed = true;
  this->dropClosed();
  ::close(this->Listener);
}

void SoakLink::apply(const LinkFault &Fault) {
  std::lock_guard Lock(this->Mutex);
  this->Faults.push_back(Fault);
}

void SoakLink::heal() {
  std::lock_guard Lock(this->Mutex);
  this->Faults.clear();
}

const LinkFault *SoakLink::find(LinkFaultKind Kind, const Pair &Open,
                                bool Back) const {
  for (const LinkFault &Fault : this->Faults)
    if (Fault.Kind == Kind && Fault.Back == Back &&
        (Fault.From == 0 || Fault.From == Open.Peer))
      return &Fault;
  return nullptr;
}

void SoakLink::accept() {
  int Client = ::accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (Client < 0)
    return;
  int Server = openSocket();
  sockaddr_in Address = socketAddress(this->Target);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (::connect(Server, Generic, sizeof Address) != 0) {
    ::close(Client);
    ::close(Server);
    return;
  }
  sendAtOnce(Client);
  sendAtOnce(Server);
  Pair New;
  New.Up.From = New.Down.To = Client;
  New.Up.To = New.Down.From = Server;
  this->Pairs.push_back(std::move(New));
}

bool SoakLink::matches(const std::string &Text, std::size_t At) const {
  std::size_t Length = std::min(this->Pattern.size(), Text.size() - At);
  for (std::size_t I = 0; I < Length; ++I) {
    char Wanted = this->Pattern[I];
    bool Fits = Wanted == '#' ? isDigit(Text[At + I]) : Text[At + I] == Wanted;
    if (!Fits)
      return false;
  }
  return true;
}

void SoakLink::rewrite(Pair &Open, Lane &Way, bool Flush) {
  std::string &Text = Way.Partial;
  std::size_t Ready = Text.size();
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (!this->matches(Text, At))
      continue;
    if (At + this->Pattern.size() > Text.size()) {
      Ready = At;
      break;
    }
    if (&Way == &Open.Up && Open.Peer == 0) {
      Open.Peer = std::stoi(Text.substr(At + this->FirstDigit));
      ++this->Recognized;
    }
    Text[At + this->FirstDigit] = '2';
  }
  if (Flush)
    Ready = Text.size();
  if (Ready == 0)
    return;
  const LinkFault *Slow =
      this->find(LinkFaultKind::Delay, Open, &Way == &Open.Down);
  auto Due = Clock::now() + (Slow ? Slow->Delay : std::chrono::milliseconds(0));
  Way.Queue.push_back({Text.substr(0, Ready), Due});
  Text.erase(0, Ready);
}

void SoakLink::read(Pair &Open, Lane &Way) {
  std::string Buffer(ChunkBytes, '\0');
  ssize_t Count = ::recv(Way.From, Buffer.data(), ChunkBytes, MSG_DONTWAIT);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count <= 0) {
    Open.Closed = true;
    return;
  }
  if (Open.Silent)
    return;
  Way.Partial.append(Buffer, 0, static_cast<std::size_t>(Count));
  Way.ReadAt = Clock::now();
  this->rewrite(Open, Way, false);
}

void SoakLink::write(Pair &Open, Lane &Way) {
  auto Now = Clock::now();
  if (!Way.Partial.empty() && Now - Way.ReadAt > RestWithin)
    this->rewrite(Open, Way, true);
  if (Open.Silent || this->find(LinkFaultKind::Hold, Open, &Way == &Open.Down))
    return;
  while (!Way.Queue.empty() && Way.Queue.front().Due <= Now) {
    std::string &Bytes = Way.Queue.front().Bytes;
    ssize_t Count =
        ::send(Way.To, Bytes.data(), Bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0) {
      Open.Closed = Open.Closed || (errno != EAGAIN && errno != EINTR);
      return;
    }
    Bytes.erase(0, static_cast<std::size_t>(Count));
    if (!Bytes.empty())
      return;
    Way.Queue.pop_front();
  }
}

void SoakLink::dropClosed() {
  std::erase_if(this->Pairs, [](const Pair &Open) {
    if (!Open.Closed)
      return false;
    ::close(Open.Up.From);
    ::close(Open.Up.To);
    return true;
  });
}

void SoakLink::run() {
  while (!this->Stopping.load()) {
    std::vector<pollfd> Sockets = {{this->Listener, POLLIN, 0}};
    for (const Pair &Open : this->Pairs) {
      Sockets.push_back({Open.Up.From, POLLIN, 0});
      Sockets.push_back({Open.Down.From, POLLIN, 0});
    }
    ::poll(Sockets.data(), Sockets.size(), PollMs);
    std::lock_guard Lock(this->Mutex);
    auto Now = Clock::now();
    for (std::size_t I = 0; I < this->Pairs.size(); ++I) {
      Pair &Open = this->Pairs[I];
      if (this->find(LinkFaultKind::Silence, Open, false))
        Open.Silent = true;
      if (this->find(LinkFaultKind::Reset, Open, false))
        Open.Closed = true;
      if (Sockets[2 * I + 1].revents != 0)
        this->read(Open, Open.Up);
      if (Sockets[2 * I + 2].revents != 0)
        this->read(Open, Open.Down);
      this->write(Open, Open.Up);
      this->write(Open, Open.Down);
    }
    this->dropClosed();
    // Those that happen to connections at one moment have happened.
    std::erase_if(this->Faults, [Now](const LinkFault &Fault) {
      bool AtOnce = Fault.Kind == LinkFaultKind::Silence ||
                    Fault.Kind == LinkFaultKind::Reset;
      return AtOnce || Now >= Fault.Until;
    });
    if (Sockets[0].revents != 0)
      this->accept();
  }
}

} // namespace yardwheel
