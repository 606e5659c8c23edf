#include "http/http_connection.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace yardwheel {

namespace {

/// How much input is discarded after the last answer. A caller that still sends
/// is read up to this limit, as it would lose the answer to a reset otherwise.
constexpr std::size_t MaxDiscardedBytes = std::size_t{16} << 20;

/// The maximum of a connection's unsent data when its next answer is written. A
/// single answer of any size may wait, so that a slow reader gets all of it.
constexpr std::size_t MaxUnreadBytes = std::size_t{4} << 20;

TimePoint now() {
  return std::chrono::time_point_cast<Duration>(BootClock::now());
}

} // namespace

void resetWhenClosed(int Descriptor) {
  linger Hard{.l_onoff = 1, .l_linger = 0};
  // If this fails, the connection is closed normally.
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Hard, sizeof Hard);
}

HttpConnection::HttpConnection(int Descriptor,
                               const ConnectionTimeouts &Timeouts)
    : OwnDescriptor(::fcntl(Descriptor, F_DUPFD_CLOEXEC, 0)),
      Timeouts(Timeouts), WaitingSince(now()) {}

std::optional<std::uint64_t> HttpConnection::reserveAnswer() {
  std::lock_guard Lock(this->Mutex);
  return this->reserveLocked();
}

std::optional<std::uint64_t> HttpConnection::reserveLastAnswer() {
  std::lock_guard Lock(this->Mutex);
  std::optional<std::uint64_t> Sequence = this->reserveLocked();
  if (Sequence)
    this->LastSequence = Sequence;
  return Sequence;
}

std::optional<std::uint64_t> HttpConnection::reserveLocked() {
  if (this->LastSequence)
    return std::nullopt;
  this->InRequest = false;
  return this->NextSequence++;
}

bool HttpConnection::makeLast(std::uint64_t Sequence) {
  std::lock_guard Lock(this->Mutex);
  if (this->NextSequence != Sequence + 1)
    return false;
  this->LastSequence = Sequence;
  return true;
}

bool HttpConnection::takesRequests() const {
  std::lock_guard Lock(this->Mutex);
  return !this->LastSequence;
}

std::uint64_t HttpConnection::pendingAnswers() const {
  std::lock_guard Lock(this->Mutex);
  return this->NextSequence - this->NextToSend;
}

WriteState HttpConnection::answer(std::uint64_t Sequence, std::string Text) {
  std::lock_guard Lock(this->Mutex);
  if (this->Unwritten.size() > MaxUnreadBytes)
    this->resetLocked();
  if (this->OwnDescriptor < 0)
    return WriteState::Gone;
  this->OutOfOrder[Sequence] = std::move(Text);
  auto Ready = this->OutOfOrder.find(this->NextToSend);
  while (Ready != this->OutOfOrder.end()) {
    this->Unwritten += Ready->second;
    this->OutOfOrder.erase(Ready);
    Ready = this->OutOfOrder.find(++this->NextToSend);
  }
  if (!this->InRequest)
    this->WaitingSince = now();
  return this->writeOut();
}

WriteState HttpConnection::writeInterim(const std::string &Text) {
  std::lock_guard Lock(this->Mutex);
  if (this->NextToSend == this->NextSequence)
    this->Unwritten += Text;
  return this->writeOut();
}

WriteState HttpConnection::flush() {
  std::lock_guard Lock(this->Mutex);
  return this->writeOut();
}

WriteState HttpConnection::writeOut() {
  while (this->OwnDescriptor >= 0 && !this->Unwritten.empty()) {
    ssize_t Count = ::send(this->OwnDescriptor, this->Unwritten.data(),
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
  if (this->OwnDescriptor < 0)
    return WriteState::Gone;
  if (this->LastSequence && this->NextToSend > *this->LastSequence)
    this->finishLocked();
  return WriteState::Done;
}

void HttpConnection::finishLocked() {
  if (this->FinishedAt)
    return;
  // The receiving side stays open: closing a connection with unread input
  // resets it, and a caller that still sends would lose the answer.
  ::shutdown(this->OwnDescriptor, SHUT_WR);
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
  // Needed since the HTTP library keeps its own descriptor open.
  if (this->OwnDescriptor >= 0)
    ::shutdown(this->OwnDescriptor, SHUT_RDWR);
  this->closeLocked();
}

void HttpConnection::resetLocked() {
  if (this->OwnDescriptor >= 0)
    resetWhenClosed(this->OwnDescriptor);
  this->endLocked();
}

void HttpConnection::closeLocked() {
  if (this->OwnDescriptor >= 0)
    ::close(std::exchange(this->OwnDescriptor, -1));
  this->Unwritten.clear();
  this->OutOfOrder.clear();
}

void HttpConnection::noteInput(std::size_t Bytes, bool InRequest) {
  std::lock_guard Lock(this->Mutex);
  if (this->LastSequence) {
    this->Discarded += Bytes;
    if (this->Discarded > MaxDiscardedBytes)
      this->resetLocked();
    return;
  }
  if (InRequest && !this->InRequest)
    this->WaitingSince = now();
  this->InRequest = InRequest;
}

TimeoutCheck HttpConnection::checkTimeouts() {
  std::lock_guard Lock(this->Mutex);
  TimePoint Now = now();
  if (this->OwnDescriptor < 0)
    return {};
  if (this->FinishedAt)
    return this->endIfExpired(*this->FinishedAt + this->Timeouts.Linger, Now);
  if (this->InRequest && !this->LastSequence) {
    TimePoint Limit = this->WaitingSince + this->Timeouts.Request;
    if (Now < Limit)
      return {.Next = Limit};
    this->LastSequence = this->reserveLocked();
    return {.LateRequest = this->LastSequence, .Next = Now};
  }
  bool AwaitsAnswer =
      this->NextToSend != this->NextSequence || !this->Unwritten.empty();
  if (AwaitsAnswer)
    return {.Next = Now + this->Timeouts.Request};
  bool IsNew = this->NextSequence == 0;
  return this->endIfExpired(this->WaitingSince + (IsNew ? this->Timeouts.Request
                                                        : this->Timeouts.Idle),
                            Now);
}

TimeoutCheck HttpConnection::endIfExpired(TimePoint Limit, TimePoint Now) {
  if (Now < Limit)
    return {.Next = Limit};
  this->endLocked();
  return {};
}

bool HttpConnection::hasCaller() const {
  std::lock_guard Lock(this->Mutex);
  if (this->OwnDescriptor < 0)
    return false;
  char Next = 0;
  ssize_t Count =
      ::recv(this->OwnDescriptor, &Next, sizeof Next, MSG_PEEK | MSG_DONTWAIT);
  // A connection that was closed by the peer reads as empty, one that was reset
  // as an error.
  bool IsOpen =
      Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return Count > 0 || IsOpen;
}

std::optional<RequestAge> HttpConnection::inputAge() const {
  std::lock_guard Lock(this->Mutex);
  return this->OwnDescriptor < 0 ? std::nullopt
                                 : findInputAge(this->OwnDescriptor);
}

int HttpConnection::descriptor() const {
  std::lock_guard Lock(this->Mutex);
  return this->OwnDescriptor;
}

} // namespace yardwheel
