#include "tests/system/soak_connection.h"

#include "tests/system/soak_socket.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace yardwheel {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t ChunkBytes = 65536;
const std::string HeadEnd = "\r\n\r\n";
const std::string StatusLine = "HTTP/1.1 ";

/// A header's value; empty if there is none.
std::string header(const std::string &Head, const std::string &Name) {
  std::string Lower = Head;
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  std::size_t At = Lower.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "";
  std::size_t From = At + Name.size() + 4;
  return Head.substr(From, Head.find("\r\n", From) - From);
}

int numberOf(const std::string &Text, int Otherwise) {
  int Number = Otherwise;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

bool SoakConnection::open() {
  if (this->Socket >= 0 && !this->isStale())
    return true;
  this->close();
  this->Socket = openSocket();
  sendAtOnce(this->Socket);
  sockaddr_in Target = socketAddress(this->Address);
  if (::connect(this->Socket, reinterpret_cast<sockaddr *>(&Target),
                sizeof Target) == 0)
    return true;
  this->close();
  return false;
}

void SoakConnection::close() {
  if (this->Socket >= 0)
    ::close(this->Socket);
  this->Socket = -1;
}

bool SoakConnection::isStale() const {
  pollfd Watched{this->Socket, POLLIN, 0};
  return ::poll(&Watched, 1, 0) > 0;
}

std::string SoakConnection::unasked() const {
  std::string Buffer(ChunkBytes, '\0');
  ssize_t Count = this->Socket < 0 ? 0
                                   : ::recv(this->Socket, Buffer.data(),
                                            ChunkBytes, MSG_DONTWAIT);
  Buffer.resize(Count > 0 ? static_cast<std::size_t>(Count) : 0);
  // Whoever leaves a connection unused may be told so.
  return Buffer.starts_with(StatusLine + "408") ? "" : Buffer;
}

SoakReply SoakConnection::post(const std::string &Host, const std::string &Path,
                               const std::string &Body,
                               std::chrono::milliseconds Deadline) {
  SoakReply Reply;
  Reply.SentAt = Clock::now();
  Reply.Body = this->unasked();
  if (!Reply.Body.empty()) {
    this->close();
    Reply.Kind = ReplyKind::Malformed;
    return Reply;
  }
  std::string Text = fmt::format(
      "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n"
      "X-Yardwheel-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{}",
      Path, Host, Deadline.count(), Body.size(), Body);
  if (this->open()) {
    ssize_t Sent = ::send(this->Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
    Reply.Kind = ReplyKind::Broken;
    if (Sent == static_cast<ssize_t>(Text.size()))
      this->readAnswer(Reply, Reply.SentAt + Deadline);
  }
  Reply.EndedAt = Clock::now();
  if (Reply.Kind != ReplyKind::Answered)
    this->close();
  return Reply;
}

void SoakConnection::readAnswer(SoakReply &Reply, Clock::time_point Until) {
  std::string Text;
  std::string Buffer(ChunkBytes, '\0');
  while (true) {
    auto Left =
        std::chrono::ceil<std::chrono::milliseconds>(Until - Clock::now());
    pollfd Watched{this->Socket, POLLIN, 0};
    int Wait = static_cast<int>(std::max<std::int64_t>(Left.count(), 0));
    if (::poll(&Watched, 1, Wait) <= 0) {
      Reply.Kind = ReplyKind::Missing;
      return;
    }
    ssize_t Count = ::recv(this->Socket, Buffer.data(), ChunkBytes, 0);
    if (Count <= 0) {
      Reply.Kind = ReplyKind::Broken;
      return;
    }
    Text.append(Buffer, 0, static_cast<std::size_t>(Count));
    if (this->parse(Text, Reply))
      return;
  }
}

bool SoakConnection::parse(const std::string &Text, SoakReply &Reply) {
  Reply.Body = Text;
  bool Begins = Text.starts_with(StatusLine.substr(0, Text.size()));
  std::size_t End = Text.find(HeadEnd);
  if (Begins && End == std::string::npos)
    return false;
  std::string Head = Text.substr(0, End);
  int Length = Begins ? numberOf(header(Head, "content-length"), -1) : -1;
  std::size_t Whole = End + HeadEnd.size() + static_cast<std::size_t>(Length);
  if (Length < 0 || Text.size() > Whole) {
    Reply.Kind = ReplyKind::Malformed;
    return true;
  }
  if (Text.size() < Whole)
    return false;
  Reply.Kind = ReplyKind::Answered;
  Reply.Status = numberOf(Head.substr(StatusLine.size()), 0);
  Reply.Body = Text.substr(End + HeadEnd.size());
  Reply.RetryAfter =
      std::chrono::seconds(numberOf(header(Head, "retry-after"), 0));
  if (header(Head, "connection") == "close")
    this->close();
  return true;
}

} // namespace yardwheel
