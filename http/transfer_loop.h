//===- http/transfer_loop.h - libcurl transfers on one thread ---*- C++ -*-===//
///
/// \file
/// A thread that drives libcurl's multi interface. Its owner manages the
/// connections and interprets the answers.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_TRANSFER_LOOP_H
#define YARDWHEEL_HTTP_TRANSFER_LOOP_H

#include <chrono>
#include <curl/curl.h>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace yardwheel {

/// A POST request and its answer. Must not be moved during the transfer.
struct HttpPost {
  std::string Url;
  std::shared_ptr<curl_slist> Headers;
  std::string Body;
  std::chrono::milliseconds Timeout{};
  /// The transfer fails if the answer is longer.
  std::size_t MaxAnswerBytes = 0;
  std::string Answer;
};

std::shared_ptr<curl_slist> makeHeaders(const std::vector<std::string> &Lines);

class TransferLoop {
public:
  using Work = std::function<void()>;
  using EndHandler = std::function<void(CURL *Handle, CURLcode Code)>;

  /// \param MaxConnections 0 for no limit.
  /// \param OnEnd Called on the loop's thread; must remove the handle.
  /// \throws Error if libcurl cannot be set up.
  TransferLoop(long MaxConnections, EndHandler OnEnd);
  /// All handles must have been removed.
  ~TransferLoop();
  TransferLoop(const TransferLoop &) = delete;
  TransferLoop &operator=(const TransferLoop &) = delete;

  /// Runs \p Item on the loop's thread. Thread-safe.
  void post(Work Item);
  /// Stops the thread. Queued work is dropped.
  void stop();

  // Only for the loop's thread, or after stop().
  void add(CURL *Handle, HttpPost &Request);
  void remove(CURL *Handle) { curl_multi_remove_handle(this->Multi, Handle); }

private:
  void run();
  bool takeWork();
  static std::size_t receive(char *Data, std::size_t Size, std::size_t Count,
                             void *Target);

  EndHandler OnEnd;
  CURLM *Multi = nullptr;
  std::mutex Mutex;
  std::deque<Work> Queued;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace yardwheel

#endif
