#include "review/support/http_call.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace yardwheel::review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::string_view HeadEnd = "\r\n\r\n";

/// Closes a socket at the end of its scope.
struct Socket {
  explicit Socket(int Number) : Number(Number) {}
  ~Socket() {
    if (this->Number >= 0)
      ::close(this->Number);
  }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  int Number;
};

bool waitFor(int Number, short Events, Clock::time_point Until) {
  auto Left =
      std::chrono::ceil<std::chrono::milliseconds>(Until - Clock::now());
  pollfd Waiting{Number, Events, 0};
  return Left.count() > 0 &&
         ::poll(&Waiting, 1, static_cast<int>(Left.count())) == 1;
}

bool connectTo(int Number, const std::string &Address,
               Clock::time_point Until) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Peer{};
  Peer.sin_family = AF_INET;
  Peer.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  if (::inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Peer.sin_addr) !=
      1)
    return false;
  if (::connect(Number, reinterpret_cast<sockaddr *>(&Peer), sizeof Peer) == 0)
    return true;
  int Problem = 0;
  socklen_t Size = sizeof Problem;
  return waitFor(Number, POLLOUT, Until) &&
         ::getsockopt(Number, SOL_SOCKET, SO_ERROR, &Problem, &Size) == 0 &&
         Problem == 0;
}

bool sendAll(int Number, std::string_view Text, Clock::time_point Until) {
  while (!Text.empty()) {
    ssize_t Count = ::send(Number, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Count > 0)
      Text.remove_prefix(static_cast<std::size_t>(Count));
    else if (!waitFor(Number, POLLOUT, Until))
      return false;
  }
  return true;
}

std::string headerOf(std::string_view Head, std::string_view Name) {
  std::string Lower(Head);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  std::size_t At = Lower.find(fmt::format("\r\n{}: ", Name));
  if (At == std::string::npos)
    return "";
  std::size_t From = At + Name.size() + 4;
  return std::string(Head.substr(From, Head.find("\r\n", From) - From));
}

/// Returns the response once \p Text holds all of it.
std::optional<Response> readResponse(std::string_view Text) {
  std::size_t End = Text.find(HeadEnd);
  if (End == std::string_view::npos)
    return std::nullopt;
  std::string_view Head = Text.substr(0, End + 2);
  std::string Length = headerOf(Head, "content-length");
  std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
  std::string_view Body = Text.substr(End + HeadEnd.size());
  if (Body.size() < Size)
    return std::nullopt;
  Response Read;
  std::string_view Status = Head.substr(Head.find(' ') + 1, 3);
  std::from_chars(Status.data(), Status.data() + Status.size(), Read.Status);
  Read.Body = Body.substr(0, Size);
  Read.Location = headerOf(Head, "location");
  return Read;
}

} // namespace

Response callHttp(const std::string &Address, const std::string &Method,
                  const std::string &Path, const std::string &Body,
                  std::chrono::milliseconds Timeout,
                  const HeaderList &Headers) {
  Clock::time_point Until = Clock::now() + Timeout;
  Socket Open(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!connectTo(Open.Number, Address, Until))
    return {};
  std::string Text = fmt::format("{} {} HTTP/1.1\r\n", Method, Path);
  bool HasHost = false;
  for (const auto &[Name, Value] : Headers) {
    HasHost = HasHost || Name == "Host";
    Text += fmt::format("{}: {}\r\n", Name, Value);
  }
  if (!HasHost)
    Text += fmt::format("Host: {}\r\n", Address);
  if (!Body.empty())
    Text += "Content-Type: application/json\r\n";
  Text += fmt::format("Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                      Body.size(), Body);
  if (!sendAll(Open.Number, Text, Until))
    return {};
  std::string Received;
  constexpr std::size_t BufferBytes = 16384;
  std::vector<char> Buffer(BufferBytes);
  while (waitFor(Open.Number, POLLIN, Until)) {
    ssize_t Count = ::recv(Open.Number, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return {};
    Received.append(Buffer.data(), static_cast<std::size_t>(Count));
    if (std::optional<Response> Read = readResponse(Received))
      return *Read;
  }
  return {};
}

} // namespace yardwheel::review
