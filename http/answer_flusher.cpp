#include "http/answer_flusher.h"

#include <cerrno>
#include <chrono>
#include <poll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace yardwheel {

namespace {

/// A connection that was closed meanwhile wakes nobody; it is looked for this
/// often.
constexpr std::chrono::milliseconds LookAgain{200};

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
  // It is there already if no thread could be had for an earlier answer.
  if (this->Wake < 0)
    this->Wake = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (this->Wake < 0)
    throw std::system_error(errno, std::generic_category(), "eventfd");
  this->Thread = std::thread([this] { this->run(); });
}

void AnswerFlusher::run() {
  std::vector<Line> Lines;
  while (this->takeAdded(Lines)) {
    this->wait(Lines);
    flush(Lines);
  }
}

bool AnswerFlusher::takeAdded(std::vector<Line> &Lines) {
  std::lock_guard Lock(this->Mutex);
  Lines.insert(Lines.end(), this->Added.begin(), this->Added.end());
  this->Added.clear();
  return !this->Stopping;
}

void AnswerFlusher::wait(const std::vector<Line> &Lines) const {
  std::vector<pollfd> Watched{{this->Wake, POLLIN, 0}};
  for (const Line &Known : Lines)
    if (std::shared_ptr<HttpConnection> Open = Known.lock())
      Watched.push_back({Open->descriptor(), POLLOUT, 0});
  bool Alone = Lines.empty();
  int Timeout = Alone ? -1 : static_cast<int>(LookAgain.count());
  ::poll(Watched.data(), Watched.size(), Timeout);
  eventfd_t Count = 0;
  ::eventfd_read(this->Wake, &Count);
}

void AnswerFlusher::flush(std::vector<Line> &Lines) {
  std::erase_if(Lines, [](const Line &Known) {
    std::shared_ptr<HttpConnection> Open = Known.lock();
    return !Open || Open->flush() != WriteState::Blocked;
  });
}

} // namespace yardwheel
