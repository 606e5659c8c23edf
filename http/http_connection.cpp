#include "http/http_connection.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace yardwheel {

namespace {

/// A caller that sends on after its last answer is read, or else it would lose
/// that answer to a reset; but not without end.
constexpr std::size_t MaxDiscardedBytes = std::size_t{16} << 20;

/// Of a connection's answers that its caller has not read when the next one is
/// due. One answer of any size may wait, and a slow reader gets it whole.
constexpr std::size_t MaxUnreadBytes = std::size_t{4} << 20;

TimePoint now() {
  return std::chrono::time_point_cast<Duration>(BootClock::now());
}

} // namespace

void resetWhenClosed(int Descriptor) {
  linger Hard{.l_onoff = 1, .l_linger = 0};
  // Where this fails, the end is an orderly one.
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Hard, sizeof Hard);
}

HttpConnection::HttpConnection(int Descriptor,
                               const ConnectionTimeouts &Timeouts)
    : Own(::fcntl(Descriptor, F_DUPFD_CLOEXEC, 0)), Timeouts(Timeouts),
      WaitsSince(now()) {}

std::optional<std::uint64_t> HttpConnection::expectAnswer() {
  std::lock_guard Lock(this->Mutex);
  return this->expectLocked();
}

std::optional<std::uint64_t> HttpConnection::expectLastAnswer() {
  std::lock_guard Lock(this->Mutex);
  std::optional<std::uint64_t> Place = this->expectLocked();
  if (Place)
    this->LastPlace = Place;
  return Place;
}

std::optional<std::uint64_t> HttpConnection::expectLocked() {
  if (this->LastPlace)
    return std::nullopt;
  this->InRequest = false;
  return this->NextPlace++;
}

bool HttpConnection::makeLast(std::uint64_t Place) {
  std::lock_guard Lock(this->Mutex);
  if (this->NextPlace != Place + 1)
    return false;
  this->LastPlace = Place;
  return true;
}

bool HttpConnection::takesRequests() const {
  std::lock_guard Lock(this->Mutex);
  return !this->LastPlace;
}

std::uint64_t HttpConnection::pendingAnswers() const {
  std::lock_guard Lock(this->Mutex);
  return this->NextPlace - this->NextToLeave;
}

WriteState HttpConnection::answer(std::uint64_t Place, std::string Text) {
  std::lock_guard Lock(this->Mutex);
  if (this->Unwritten.size() > MaxUnreadBytes)
    this->cutOffLocked();
  if (this->Own < 0)
    return WriteState::Gone;
  this->Early[Place] = std::move(Text);
  auto Ready = this->Early.find(this->NextToLeave);
  while (Ready != this->Early.end()) {
    this->Unwritten += Ready->second;
    this->Early.erase(Ready);
    Ready = this->Early.find(++this->NextToLeave);
  }
  if (!this->InRequest)
    this->WaitsSince = now();
  return this->writeOut();
}

WriteState HttpConnection::writeInterim(const std::string &Text) {
  std::lock_guard Lock(this->Mutex);
  if (this->NextToLeave == this->NextPlace)
    this->Unwritten += Text;
  return this->writeOut();
}

WriteState HttpConnection::flush() {
  std::lock_guard Lock(this->Mutex);
  return this->writeOut();
}

WriteState HttpConnection::writeOut() {
  while (this->Own >= 0 && !this->Unwritten.empty()) {
    ssize_t Count = ::send(this->Own, this->Unwritten.data(),
                           this->Unwritten.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count >= 0) {
      this->Unwritten.erase(0, static_cast<std::size_t>(Count));
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK)
      return WriteState::Blocked;
    this->endLocked();
  }
  if (this->Own < 0)
    return WriteState::Gone;
  if (this->LastPlace && this->NextToLeave > *this->LastPlace)
    this->finishLocked();
  return WriteState::Done;
}

void HttpConnection::finishLocked() {
  if (this->FinishedAt)
    return;
  // The way in stays open: a connection that is closed on unread input is
  // reset, which would take the answer away from a caller that sends on.
  ::shutdown(this->Own, SHUT_WR);
  this->FinishedAt = now();
}

void HttpConnection::close() {
  std::lock_guard Lock(this->Mutex);
  this->closeLocked();
}

void HttpConnection::end() {
  std::lock_guard Lock(this->Mutex);
  this->endLocked();
}

void HttpConnection::endLocked() {
  // The HTTP library holds the connection open by a descriptor of its own.
  if (this->Own >= 0)
    ::shutdown(this->Own, SHUT_RDWR);
  this->closeLocked();
}

void HttpConnection::cutOffLocked() {
  if (this->Own >= 0)
    resetWhenClosed(this->Own);
  this->endLocked();
}

void HttpConnection::closeLocked() {
  if (this->Own >= 0)
    ::close(std::exchange(this->Own, -1));
  this->Unwritten.clear();
  this->Early.clear();
}

void HttpConnection::noteInput(std::size_t Bytes, bool InRequest) {
  std::lock_guard Lock(this->Mutex);
  if (this->LastPlace) {
    this->Discarded += Bytes;
    if (this->Discarded > MaxDiscardedBytes)
      this->cutOffLocked();
    return;
  }
  if (InRequest && !this->InRequest)
    this->WaitsSince = now();
  this->InRequest = InRequest;
}

TimeoutCheck HttpConnection::checkTimeouts() {
  std::lock_guard Lock(this->Mutex);
  TimePoint Now = now();
  if (this->Own < 0)
    return {};
  if (this->FinishedAt)
    return this->endFrom(*this->FinishedAt + this->Timeouts.Linger, Now);
  if (this->InRequest && !this->LastPlace) {
    TimePoint Limit = this->WaitsSince + this->Timeouts.Request;
    if (Now < Limit)
      return {.Next = Limit};
    this->LastPlace = this->expectLocked();
    return {.LateRequest = this->LastPlace, .Next = Now};
  }
  bool CallerWaits =
      this->NextToLeave != this->NextPlace || !this->Unwritten.empty();
  if (CallerWaits)
    return {.Next = Now + this->Timeouts.Request};
  bool IsNew = this->NextPlace == 0;
  return this->endFrom(
      this->WaitsSince + (IsNew ? this->Timeouts.Request : this->Timeouts.Idle),
      Now);
}

TimeoutCheck HttpConnection::endFrom(TimePoint Limit, TimePoint Now) {
  if (Now < Limit)
    return {.Next = Limit};
  this->endLocked();
  return {};
}

bool HttpConnection::hasCaller() const {
  std::lock_guard Lock(this->Mutex);
  if (this->Own < 0)
    return false;
  char Next = 0;
  ssize_t Count =
      ::recv(this->Own, &Next, sizeof Next, MSG_PEEK | MSG_DONTWAIT);
  // A connection that was closed by the other end reads as empty, one that was
  // reset as an error.
  bool IsQuiet =
      Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return Count > 0 || IsQuiet;
}

std::optional<RequestAge> HttpConnection::inputAge() const {
  std::lock_guard Lock(this->Mutex);
  return this->Own < 0 ? std::nullopt : findInputAge(this->Own);
}

int HttpConnection::descriptor() const {
  std::lock_guard Lock(this->Mutex);
  return this->Own;
}

} // namespace yardwheel
