#include "review/second/holding_proxy.h"

#include "review/second/web_client.h"

#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace yardwheel {

namespace {

constexpr int PollMillis = 50;
constexpr int AnswerMillis = 3000;
/// Twice the one-way delay to clients of the users' sheets.
constexpr std::chrono::milliseconds RoundTrip{6};

/// Waits until there is something to read. \returns whether there is.
bool awaitInput(int Socket, int Millis) {
  pollfd Watched{Socket, POLLIN, 0};
  return ::poll(&Watched, 1, Millis) > 0;
}

std::string readSome(int Socket) {
  char Bytes[4096];
  ssize_t Count = ::recv(Socket, Bytes, sizeof Bytes, 0);
  return Count > 0 ? std::string(Bytes, static_cast<std::size_t>(Count)) : "";
}

} // namespace

HoldingProxy::HoldingProxy(const std::string &Listen, std::string Target,
                           std::chrono::milliseconds Hold)
    : Target(std::move(Target)), Hold(Hold) {
  sockaddr_in Own = addressOf(Listen);
  this->Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  if (::bind(this->Listener, reinterpret_cast<sockaddr *>(&Own), sizeof Own) !=
          0 ||
      ::listen(this->Listener, SOMAXCONN) != 0)
    throw std::runtime_error("the proxy cannot listen at " + Listen);
  this->Thread = std::thread([this] { this->run(); });
}

HoldingProxy::~HoldingProxy() {
  this->Stopping.store(true);
  this->Thread.join();
  ::close(this->Listener);
}

void HoldingProxy::run() {
  while (!this->Stopping.load()) {
    if (!awaitInput(this->Listener, PollMillis))
      continue;
    int Client = ::accept(this->Listener, nullptr, nullptr);
    if (Client < 0)
      continue;
    this->forward(Client);
    ::close(Client);
  }
}

void HoldingProxy::forward(int Client) {
  std::string Text = awaitInput(Client, AnswerMillis) ? readSome(Client) : "";
  if (Text.empty())
    return;
  std::this_thread::sleep_for(this->Hold);
  int Server = connectTo(this->Target);
  if (Server < 0)
    return;
  ::send(Server, Text.data(), Text.size(), MSG_NOSIGNAL);
  // The client has closed its connection if its wait has ended. After a loss,
  // its host sends the rest once it has an acknowledgement.
  std::this_thread::sleep_for(RoundTrip);
  char Next = 0;
  bool HasLeft = ::recv(Client, &Next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  if (HasLeft)
    ::shutdown(Server, SHUT_WR);
  ++this->Forwarded;
  while (awaitInput(Server, AnswerMillis)) {
    std::string Answer = readSome(Server);
    if (Answer.empty())
      break;
    ::send(Client, Answer.data(), Answer.size(), MSG_NOSIGNAL);
  }
  ::close(Server);
}

} // namespace yardwheel
