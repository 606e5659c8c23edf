//===- agent/upstream_client.h - Tasks over HTTP ----------------*- C++ -*-===//
///
/// \file
/// Posts each task to the upstream with libcurl. One thread serves all tasks of
/// the agent. No request is made twice: libcurl is kept from retrying, and only
/// a connection that was never established counts as "never started".
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

/// Largest response of a task that is read, in bytes.
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
  /// Declared last, because its thread uses all the members above.
  TransferLoop Loop;
};

} // namespace yardwheel

#endif
