#include "review/second/web_client.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace yardwheel {

namespace {

using Clock = std::chrono::steady_clock;

std::string encode(const WebRequest &Wanted) {
  std::string Text = fmt::format(
      "{} {} HTTP/1.1\r\nHost: {}\r\n"
      "Content-Type: application/json\r\nContent-Length: {}\r\n",
      Wanted.Method, Wanted.Path,
      Wanted.Host.empty() ? Wanted.Address : Wanted.Host, Wanted.Body.size());
  if (Wanted.Deadline.count() > 0)
    Text +=
        fmt::format("X-Yardwheel-Deadline-Ms: {}\r\n", Wanted.Deadline.count());
  return Text + "\r\n" + Wanted.Body;
}

std::string headerOf(const std::string &Head, std::string Name) {
  std::string Lower = Head;
  std::ranges::transform(Lower, Lower.begin(), ::tolower);
  std::ranges::transform(Name, Name.begin(), ::tolower);
  std::size_t At = Lower.find("\r\n" + Name + ":");
  if (At == std::string::npos)
    return "";
  At = Head.find_first_not_of(' ', At + Name.size() + 3);
  return Head.substr(At, Head.find("\r\n", At) - At);
}

/// \returns the answer once it is whole.
std::optional<WebAnswer> decode(const std::string &Text) {
  std::size_t HeadEnd = Text.find("\r\n\r\n");
  if (HeadEnd == std::string::npos || Text.size() < 12)
    return std::nullopt;
  std::string Head = Text.substr(0, HeadEnd + 2);
  std::string Length = headerOf(Head, "Content-Length");
  WebAnswer Answer;
  Answer.Body = Text.substr(HeadEnd + 4);
  if (!Length.empty() && Answer.Body.size() < std::stoul(Length))
    return std::nullopt;
  Answer.Status = std::stoi(Text.substr(9, 3));
  Answer.Location = headerOf(Head, "Location");
  return Answer;
}

} // namespace

sockaddr_in addressOf(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Peer{};
  Peer.sin_family = AF_INET;
  Peer.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  ::inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Peer.sin_addr);
  return Peer;
}

int connectTo(const std::string &Address) {
  sockaddr_in Peer = addressOf(Address);
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket >= 0 &&
      ::connect(Socket, reinterpret_cast<sockaddr *>(&Peer), sizeof Peer) == 0)
    return Socket;
  if (Socket >= 0)
    ::close(Socket);
  return -1;
}

WebAnswer request(const WebRequest &Wanted) {
  auto End = Clock::now() + Wanted.Timeout;
  int Socket = connectTo(Wanted.Address);
  if (Socket < 0)
    return {};
  std::string Text = encode(Wanted);
  ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
  std::string Received;
  std::optional<WebAnswer> Answer;
  while (!Answer) {
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        End - Clock::now());
    pollfd Watched{Socket, POLLIN, 0};
    if (Left.count() <= 0 ||
        ::poll(&Watched, 1, static_cast<int>(Left.count())) <= 0)
      break;
    char Bytes[4096];
    ssize_t Count = ::recv(Socket, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      break;
    Received.append(Bytes, static_cast<std::size_t>(Count));
    Answer = decode(Received);
  }
  ::close(Socket);
  return Answer.value_or(WebAnswer());
}

WebAnswer requestFollowing(WebRequest Wanted) {
  WebAnswer Answer = request(Wanted);
  for (int Followed = 0; Answer.Status == 307 && Followed < 2; ++Followed) {
    std::string Target = Answer.Location.substr(sizeof("http://") - 1);
    std::size_t Slash = Target.find('/');
    Wanted.Address = Target.substr(0, Slash);
    Wanted.Path = Target.substr(Slash);
    Answer = request(Wanted);
  }
  return Answer;
}

} // namespace yardwheel
