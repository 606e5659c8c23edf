#include "http/answer_flusher.h"

#include <cerrno>
#include <chrono>
#include <poll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace yardwheel {

namespace {

/// How often connections are checked for having been closed, as closing one
/// does not end the wait.
constexpr std::chrono::milliseconds RecheckInterval{200};

} // namespace

AnswerFlusher::~AnswerFlusher() {
  if (this->Thread.joinable()) {
    {
      std::lock_guard Lock(this->Mutex);
      this->Stopping = true;
    }
    ::eventfd_write(this->Wake, 1);
    this->Thread.join();
  }
  if (this->Wake >= 0)
    ::close(this->Wake);
}

void AnswerFlusher::add(const std::shared_ptr<HttpConnection> &Blocked) {
  std::lock_guard Lock(this->Mutex);
  this->Added.push_back(Blocked);
  if (!this->Thread.joinable())
    this->start();
  ::eventfd_write(this->Wake, 1);
}

void AnswerFlusher::start() {
  // It already exists if the thread could not be created for an earlier answer.
  if (this->Wake < 0)
    this->Wake = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (this->Wake < 0)
    throw std::system_error(errno, std::generic_category(), "eventfd");
  this->Thread = std::thread([this] { this->run(); });
}

void AnswerFlusher::run() {
  std::vector<WeakConnection> Connections;
  while (this->takeAdded(Connections)) {
    this->wait(Connections);
    flush(Connections);
  }
}

bool AnswerFlusher::takeAdded(std::vector<WeakConnection> &Connections) {
  std::lock_guard Lock(this->Mutex);
  Connections.insert(Connections.end(), this->Added.begin(), this->Added.end());
  this->Added.clear();
  return !this->Stopping;
}

void AnswerFlusher::wait(const std::vector<WeakConnection> &Connections) const {
  std::vector<pollfd> Watched{{this->Wake, POLLIN, 0}};
  for (const WeakConnection &Known : Connections)
    if (std::shared_ptr<HttpConnection> Open = Known.lock())
      Watched.push_back({Open->descriptor(), POLLOUT, 0});
  bool IsEmpty = Connections.empty();
  int Timeout = IsEmpty ? -1 : static_cast<int>(RecheckInterval.count());
  ::poll(Watched.data(), Watched.size(), Timeout);
  eventfd_t Count = 0;
  ::eventfd_read(this->Wake, &Count);
}

void AnswerFlusher::flush(std::vector<WeakConnection> &Connections) {
  std::erase_if(Connections, [](const WeakConnection &Known) {
    std::shared_ptr<HttpConnection> Open = Known.lock();
    return !Open || Open->flush() != WriteState::Blocked;
  });
}

} // namespace yardwheel
