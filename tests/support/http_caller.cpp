#include "tests/support/http_caller.h"

#include <arpa/inet.h>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

namespace yardwheel {

namespace {

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

} // namespace

std::uint16_t freeHttpPort() {
  Descriptor Probe(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof Address;
  auto *Plain = reinterpret_cast<sockaddr *>(&Address);
  CHECK_EQUAL(0, ::bind(Probe.number(), Plain, Size));
  CHECK_EQUAL(0, ::getsockname(Probe.number(), Plain, &Size));
  return ntohs(Address.sin_port);
}

Caller::Caller(std::uint16_t Port)
    : Socket(::socket(AF_INET, SOCK_STREAM, 0)), Port(Port) {}

void Caller::connect() {
  sockaddr_in Address = loopback(this->Port);
  int Result =
      ::connect(this->Socket.number(), reinterpret_cast<sockaddr *>(&Address),
                sizeof Address);
  CHECK_EQUAL(0, Result);
}

bool Caller::send(const std::string &Text) {
  ssize_t Sent =
      ::send(this->Socket.number(), Text.data(), Text.size(), MSG_NOSIGNAL);
  return Sent == static_cast<ssize_t>(Text.size());
}

void Caller::fill() {
  constexpr std::size_t Part = 65536;
  constexpr std::chrono::milliseconds Still{200};
  const std::string Text(Part, 'x');
  pollfd Watched{this->Socket.number(), POLLOUT, 0};
  while (::poll(&Watched, 1, static_cast<int>(Still.count())) > 0) {
    ssize_t Count = ::send(this->Socket.number(), Text.data(), Text.size(),
                           MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
      return;
  }
}

void Caller::ask(const std::string &Path) {
  this->send("GET " + Path +
             " HTTP/1.1\r\nHost: test\r\nConnection: keep-alive\r\n\r\n");
}

void Caller::finishSending() { ::shutdown(this->Socket.number(), SHUT_WR); }

void Caller::reset() {
  linger Hard{1, 0};
  ::setsockopt(this->Socket.number(), SOL_SOCKET, SO_LINGER, &Hard,
               sizeof Hard);
  this->Socket.close();
}

std::string Caller::read(std::size_t Length, std::chrono::milliseconds Wait) {
  std::string Text;
  pollfd Watched{this->Socket.number(), POLLIN, 0};
  constexpr std::size_t Chunk = 65536;
  std::string Buffer(Chunk, '\0');
  while (Text.size() < Length &&
         ::poll(&Watched, 1, static_cast<int>(Wait.count())) > 0) {
    ssize_t Count = ::recv(this->Socket.number(), Buffer.data(), Chunk, 0);
    if (Count <= 0)
      break;
    Text.append(Buffer, 0, static_cast<std::size_t>(Count));
  }
  return Text;
}

bool Caller::seesEnd(std::chrono::milliseconds Wait) {
  pollfd Watched{this->Socket.number(), POLLIN, 0};
  char Next = 0;
  return ::poll(&Watched, 1, static_cast<int>(Wait.count())) > 0 &&
         ::recv(this->Socket.number(), &Next, sizeof Next, 0) <= 0;
}

bool Caller::isReset(std::chrono::milliseconds Wait) {
  // No events are requested, so an orderly close by the server is not reported.
  pollfd Watched{this->Socket.number(), 0, 0};
  ::poll(&Watched, 1, static_cast<int>(Wait.count()));
  return (Watched.revents & (POLLERR | POLLHUP)) != 0;
}

std::string Caller::readAnswer() {
  std::string Text;
  std::size_t End = std::string::npos;
  while ((End = Text.find("\r\n\r\n")) == std::string::npos) {
    std::string More = this->read(1);
    if (More.empty())
      return Text;
    Text += More;
  }
  constexpr std::size_t MarkSize = 4;
  const std::string Length = "Content-Length: ";
  std::size_t Name = Text.find(Length);
  if (Name == std::string::npos)
    return Text;
  std::size_t Body = std::stoul(Text.substr(Name + Length.size()));
  std::size_t Whole = End + MarkSize + Body;
  if (Text.size() < Whole)
    Text += this->read(Whole - Text.size());
  return Text;
}

} // namespace yardwheel
