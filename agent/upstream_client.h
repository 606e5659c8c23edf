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
#include "http/transfer_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

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
  struct Transfer : HttpPost {
    TaskKey Task;
    BootClock::time_point Started;
  };

  void begin(std::shared_ptr<Transfer> Next);
  void abort(const TaskKey &Task);
  void finish(CURL *Handle, CURLcode Code);
  TaskEnd describe(CURL *Handle, CURLcode Code, Transfer &Ended) const;

  Logger Log{"upstream"};
  std::string Url;
  std::chrono::milliseconds Timeout;
  EndHandler OnEnd;
  std::map<CURL *, std::shared_ptr<Transfer>> Transfers;
  /// Last, as its thread uses all of the above.
  TransferLoop Loop;
};

} // namespace yardwheel

#endif
