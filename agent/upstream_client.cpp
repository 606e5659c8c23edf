#include "agent/upstream_client.h"

#include "core/error.h"
#include "core/text.h"

#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr long HttpOk = 200;
constexpr long HttpMultiple = 300;
constexpr int PollMs = 1000;

/// Whether the error proves that the upstream has not seen the request.
bool neverConnected(CURLcode Code) { return Code == CURLE_COULDNT_CONNECT; }

} // namespace

UpstreamClient::UpstreamClient(std::string Url,
                               std::chrono::milliseconds Timeout,
                               EndHandler OnEnd)
    : Url(std::move(Url)), Timeout(Timeout), OnEnd(std::move(OnEnd)),
      Multi(curl_multi_init()) {
  if (this->Multi == nullptr)
    throw Error("upstream client", this->Url, "libcurl cannot be set up");
  this->Thread = std::thread([this] { this->run(); });
}

UpstreamClient::~UpstreamClient() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
  }
  curl_multi_wakeup(this->Multi);
  this->Thread.join();
  for (auto &[Handle, Open] : this->Transfers) {
    curl_multi_remove_handle(this->Multi, Handle);
    curl_slist_free_all(Open->Headers);
    curl_easy_cleanup(Handle);
  }
  curl_multi_cleanup(this->Multi);
}

void UpstreamClient::start(const TaskKey &Task, const std::string &Workspace,
                           const std::string &Payload) {
  {
    std::lock_guard Lock(this->Mutex);
    this->Orders.push_back({Task, Workspace, Payload, false});
  }
  curl_multi_wakeup(this->Multi);
}

void UpstreamClient::stop(const TaskKey &Task) {
  {
    std::lock_guard Lock(this->Mutex);
    this->Orders.push_back({Task, "", "", true});
  }
  curl_multi_wakeup(this->Multi);
}

void UpstreamClient::run() {
  while (this->takeOrders()) {
    int Running = 0;
    curl_multi_perform(this->Multi, &Running);
    this->collect();
    curl_multi_poll(this->Multi, nullptr, 0, PollMs, nullptr);
  }
}

bool UpstreamClient::takeOrders() {
  std::deque<Order> Taken;
  {
    std::lock_guard Lock(this->Mutex);
    if (this->Stopping)
      return false;
    std::swap(Taken, this->Orders);
  }
  for (Order &Next : Taken) {
    if (Next.Stop)
      this->abort(Next.Task);
    else
      this->begin(std::move(Next));
  }
  return true;
}

void UpstreamClient::begin(Order Next) {
  CURL *Handle = curl_easy_init();
  if (Handle == nullptr) {
    this->OnEnd(Next.Task, {TaskEndKind::NeverStarted, "", "no handle", {}});
    return;
  }
  auto New = std::make_unique<Transfer>();
  New->Task = Next.Task;
  New->Payload = std::move(Next.Payload);
  New->Started = BootClock::now();
  auto AddHeader = [&](const std::string &Line) {
    New->Headers = curl_slist_append(New->Headers, Line.c_str());
  };
  AddHeader("Connection: keep-alive");
  AddHeader("Expect:");
  AddHeader("Content-Type: application/octet-stream");
  AddHeader("X-Yardwheel-Job: " + Next.Task.Job);
  AddHeader(fmt::format("X-Yardwheel-Task: {}", Next.Task.Index));
  AddHeader("X-Yardwheel-Workspace: " + Next.Workspace);
  curl_easy_setopt(Handle, CURLOPT_URL, this->Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, New->Headers);
  curl_easy_setopt(Handle, CURLOPT_POST, 1L);
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, New->Payload.data());
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(New->Payload.size()));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &UpstreamClient::receive);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, New.get());
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(this->Timeout.count()));
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  // libcurl repeats a request by itself when a reused connection turns out
  // dead; a fresh connection for each task rules that out.
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
  curl_multi_add_handle(this->Multi, Handle);
  this->Transfers[Handle] = std::move(New);
}

void UpstreamClient::abort(const TaskKey &Task) {
  for (auto &[Handle, Open] : this->Transfers) {
    if (Open->Task == Task) {
      this->finish(Handle, CURLE_ABORTED_BY_CALLBACK);
      return;
    }
  }
}

void UpstreamClient::collect() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(this->Multi, &Left))
    if (Message->msg == CURLMSG_DONE)
      this->finish(Message->easy_handle, Message->data.result);
}

void UpstreamClient::finish(CURL *Handle, CURLcode Code) {
  auto Found = this->Transfers.find(Handle);
  std::unique_ptr<Transfer> Ended = std::move(Found->second);
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
  curl_multi_remove_handle(this->Multi, Handle);
  curl_slist_free_all(Ended->Headers);
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

std::size_t UpstreamClient::receive(char *Data, std::size_t Size,
                                    std::size_t Count, void *Target) {
  auto *Open = static_cast<Transfer *>(Target);
  std::size_t Bytes = Size * Count;
  // A short count makes libcurl fail the transfer.
  if (Open->Answer.size() + Bytes > MaxResultBytes)
    return 0;
  Open->Answer.append(Data, Bytes);
  return Bytes;
}

} // namespace yardwheel
