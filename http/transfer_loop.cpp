#include "http/transfer_loop.h"

#include "core/error.h"

namespace yardwheel {

std::shared_ptr<curl_slist> makeHeaders(const std::vector<std::string> &Lines) {
  curl_slist *List = nullptr;
  for (const std::string &Line : Lines)
    List = curl_slist_append(List, Line.c_str());
  return {List, curl_slist_free_all};
}

TransferLoop::TransferLoop(long MaxConnections, EndHandler OnEnd)
    : OnEnd(std::move(OnEnd)), Multi(curl_multi_init()) {
  if (this->Multi == nullptr)
    throw Error("transfer loop", "", "libcurl cannot be set up");
  curl_multi_setopt(this->Multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                    MaxConnections);
  this->Thread = std::thread([this] { this->run(); });
}

TransferLoop::~TransferLoop() {
  this->stop();
  curl_multi_cleanup(this->Multi);
}

void TransferLoop::post(Work Item) {
  {
    std::lock_guard Lock(this->Mutex);
    this->Queued.push_back(std::move(Item));
  }
  curl_multi_wakeup(this->Multi);
}

void TransferLoop::stop() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
  }
  curl_multi_wakeup(this->Multi);
  if (this->Thread.joinable())
    this->Thread.join();
}

void TransferLoop::add(CURL *Handle, HttpPost &Request) {
  curl_easy_setopt(Handle, CURLOPT_URL, Request.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Request.Headers.get());
  curl_easy_setopt(Handle, CURLOPT_POST, 1L);
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.Body.data());
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(Request.Body.size()));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &TransferLoop::receive);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Request);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Request.Timeout.count()));
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_multi_add_handle(this->Multi, Handle);
}

void TransferLoop::run() {
  constexpr int PollMs = 1000;
  while (this->takeWork()) {
    int Count = 0;
    curl_multi_perform(this->Multi, &Count);
    while (CURLMsg *Message = curl_multi_info_read(this->Multi, &Count))
      if (Message->msg == CURLMSG_DONE)
        this->OnEnd(Message->easy_handle, Message->data.result);
    curl_multi_poll(this->Multi, nullptr, 0, PollMs, nullptr);
  }
}

bool TransferLoop::takeWork() {
  std::deque<Work> Taken;
  {
    std::lock_guard Lock(this->Mutex);
    if (this->Stopping)
      return false;
    std::swap(Taken, this->Queued);
  }
  for (Work &Item : Taken)
    Item();
  return true;
}

std::size_t TransferLoop::receive(char *Data, std::size_t Size,
                                  std::size_t Count, void *Target) {
  auto *Request = static_cast<HttpPost *>(Target);
  std::size_t Bytes = Size * Count;
  // Returning a smaller count makes libcurl fail the transfer.
  if (Request->Answer.size() + Bytes > Request->MaxAnswerBytes)
    return 0;
  Request->Answer.append(Data, Bytes);
  return Bytes;
}

} // namespace yardwheel
