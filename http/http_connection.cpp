#include "http/http_connection.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace yardwheel {

HttpConnection::HttpConnection(int Descriptor)
    : Own(::fcntl(Descriptor, F_DUPFD_CLOEXEC, 0)) {}

std::uint64_t HttpConnection::expectAnswer() {
  std::lock_guard Lock(this->Mutex);
  return this->NextPlace++;
}

WriteState HttpConnection::answer(std::uint64_t Place, std::string Text) {
  std::lock_guard Lock(this->Mutex);
  if (this->Own < 0)
    return WriteState::Gone;
  this->Early[Place] = std::move(Text);
  auto Ready = this->Early.find(this->NextToLeave);
  while (Ready != this->Early.end()) {
    this->Unwritten += Ready->second;
    this->Early.erase(Ready);
    Ready = this->Early.find(++this->NextToLeave);
  }
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
  return this->Own < 0 ? WriteState::Gone : WriteState::Done;
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

void HttpConnection::closeLocked() {
  if (this->Own >= 0)
    ::close(std::exchange(this->Own, -1));
  this->Unwritten.clear();
  this->Early.clear();
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

int HttpConnection::descriptor() const {
  std::lock_guard Lock(this->Mutex);
  return this->Own;
}

} // namespace yardwheel
