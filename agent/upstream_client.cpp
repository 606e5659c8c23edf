#include "agent/upstream_client.h"

#include "core/text.h"

#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr long HttpOk = 200;
constexpr long HttpMultiple = 300;

/// Whether the error proves that the request never reached the upstream.
bool neverConnected(CURLcode Code) { return Code == CURLE_COULDNT_CONNECT; }

} // namespace

UpstreamClient::UpstreamClient(std::string Url,
                               std::chrono::milliseconds Timeout,
                               EndHandler OnEnd)
    : Url(std::move(Url)), Timeout(Timeout), OnEnd(std::move(OnEnd)),
      Loop(0, [this](CURL *Handle, CURLcode Code) {
        this->finish(Handle, Code);
      }) {}

UpstreamClient::~UpstreamClient() {
  this->Loop.stop();
  for (auto &[Handle, Open] : this->Transfers) {
    this->Loop.remove(Handle);
    curl_easy_cleanup(Handle);
  }
}

void UpstreamClient::start(const TaskKey &Task, const std::string &Workspace,
                           const std::string &Payload) {
  auto New = std::make_shared<Transfer>();
  New->Task = Task;
  New->Url = this->Url;
  New->Headers =
      makeHeaders({"Connection: keep-alive",
                   "Expect:", "Content-Type: application/octet-stream",
                   "X-Yardwheel-Job: " + Task.Job,
                   fmt::format("X-Yardwheel-Task: {}", Task.Index),
                   "X-Yardwheel-Workspace: " + Workspace});
  New->Body = Payload;
  New->Timeout = this->Timeout;
  New->MaxAnswerBytes = MaxResultBytes;
  this->Loop.post([this, New] { this->begin(New); });
}

void UpstreamClient::stop(const TaskKey &Task) {
  this->Loop.post([this, Task] { this->abort(Task); });
}

void UpstreamClient::begin(std::shared_ptr<Transfer> Next) {
  CURL *Handle = curl_easy_init();
  if (Handle == nullptr) {
    this->OnEnd(Next->Task, {TaskEndKind::NeverStarted, "", "no handle", {}});
    return;
  }
  Next->Started = BootClock::now();
  // libcurl repeats a request on its own if a reused connection turns out to be
  // dead. A fresh connection for each task prevents that.
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
  this->Loop.add(Handle, *Next);
  this->Transfers[Handle] = std::move(Next);
}

void UpstreamClient::abort(const TaskKey &Task) {
  for (auto &[Handle, Open] : this->Transfers) {
    if (Open->Task == Task) {
      this->finish(Handle, CURLE_ABORTED_BY_CALLBACK);
      return;
    }
  }
}

void UpstreamClient::finish(CURL *Handle, CURLcode Code) {
  auto Found = this->Transfers.find(Handle);
  std::shared_ptr<Transfer> Ended = std::move(Found->second);
  this->Transfers.erase(Found);
  TaskEnd End = this->describe(Handle, Code, *Ended);
  if (End.Kind == TaskEndKind::Succeeded)
    this->Log.debug("Task {} of job {} succeeded.", Ended->Task.Index,
                    Ended->Task.Job);
  else
    this->Log.info("Task {} of job {} did not succeed at {}: {}.",
                   Ended->Task.Index, Ended->Task.Job, this->Url,
                   End.Kind == TaskEndKind::NeverStarted ? "no connection"
                                                         : End.Reason);
  this->Loop.remove(Handle);
  curl_easy_cleanup(Handle);
  this->OnEnd(Ended->Task, End);
}

TaskEnd UpstreamClient::describe(CURL *Handle, CURLcode Code,
                                 Transfer &Ended) const {
  TaskEnd End;
  End.Service = std::chrono::duration_cast<std::chrono::microseconds>(
      BootClock::now() - Ended.Started);
  if (neverConnected(Code)) {
    End.Kind = TaskEndKind::NeverStarted;
    return End;
  }
  if (Code == CURLE_ABORTED_BY_CALLBACK) {
    End.Reason = "stopped on request";
    return End;
  }
  if (Code != CURLE_OK) {
    End.Reason = curl_easy_strerror(Code);
    return End;
  }
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  if (Status < HttpOk || Status >= HttpMultiple) {
    End.Reason = fmt::format("the upstream answered {}", Status);
    return End;
  }
  if (!isUtf8(Ended.Answer)) {
    End.Reason = "the upstream's answer is not UTF-8 text";
    return End;
  }
  End.Kind = TaskEndKind::Succeeded;
  End.Result = std::move(Ended.Answer);
  return End;
}

} // namespace yardwheel
