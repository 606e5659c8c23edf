//===- agent/upstream_client.h - Runs tasks at an upstream by HTTP ---*- C++
//-*-===//
///
/// \file
/// Posts each task to the upstream with libcurl. One thread serves all tasks of
/// the agent. No request is ever made twice: libcurl is told not to retry,
/// and only a connection that was never made counts as "never started".
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_UPSTREAM_CLIENT_H
#define YARDWHEEL_AGENT_UPSTREAM_CLIENT_H

#include "agent/task_runner.h"
#include "core/clock.h"
#include "core/logger.h"

#include <curl/curl.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace yardwheel {

/// Largest answer of a task that is read, in bytes.
constexpr std::size_t MaxResultBytes = 1048576;

class UpstreamClient final : public TaskRunner {
public:
  using EndHandler = std::function<void(const TaskKey &, const TaskEnd &)>;

  /// \param OnEnd Called on the client's own thread.
  /// \throws Error if libcurl cannot be set up.
  UpstreamClient(std::string Url, std::chrono::milliseconds Timeout,
                 EndHandler OnEnd);
  ~UpstreamClient() override;

  void start(const TaskKey &Task, const std::string &Workspace,
             const std::string &Payload) override;
  void stop(const TaskKey &Task) override;

private:
  struct Transfer {
    TaskKey Task;
    std::string Payload;
    std::string Answer;
    curl_slist *Headers = nullptr;
    BootClock::time_point Started;
  };
  struct Order {
    TaskKey Task;
    std::string Workspace;
    std::string Payload;
    bool Stop = false;
  };

  void run();
  bool takeOrders();
  void begin(Order Next);
  void abort(const TaskKey &Task);
  void collect();
  void finish(CURL *Handle, CURLcode Code);
  TaskEnd describe(CURL *Handle, CURLcode Code, Transfer &Ended) const;
  static std::size_t receive(char *Data, std::size_t Size, std::size_t Count,
                             void *Target);

  Logger Log{"upstream"};
  std::string Url;
  std::chrono::milliseconds Timeout;
  EndHandler OnEnd;
  CURLM *Multi = nullptr;
  std::map<CURL *, std::unique_ptr<Transfer>> Transfers;
  std::mutex Mutex;
  std::deque<Order> Orders;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace yardwheel

#endif
