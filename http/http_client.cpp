#include "http/http_client.h"

#include "core/error.h"

namespace yardwheel {

namespace {

constexpr long MaxRedirects = 5;

std::size_t collect(char *Data, std::size_t Size, std::size_t Count,
                    void *Target) {
  static_cast<std::string *>(Target)->append(Data, Size * Count);
  return Size * Count;
}

} // namespace

HttpClient::HttpClient(std::chrono::milliseconds Timeout)
    : Handle(curl_easy_init()) {
  if (this->Handle == nullptr)
    throw Error("http client", "", "libcurl cannot be set up");
  this->Headers = curl_slist_append(this->Headers, "Connection: keep-alive");
  this->Headers = curl_slist_append(this->Headers, "Expect:");
  this->Headers =
      curl_slist_append(this->Headers, "Content-Type: application/json");
  curl_easy_setopt(this->Handle, CURLOPT_HTTPHEADER, this->Headers);
  curl_easy_setopt(this->Handle, CURLOPT_WRITEFUNCTION, &collect);
  curl_easy_setopt(this->Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Timeout.count()));
  curl_easy_setopt(this->Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(this->Handle, CURLOPT_FOLLOWLOCATION, 1L);
  curl_easy_setopt(this->Handle, CURLOPT_MAXREDIRS, MaxRedirects);
}

HttpClient::~HttpClient() {
  curl_slist_free_all(this->Headers);
  curl_easy_cleanup(this->Handle);
}

HttpResult HttpClient::call(const std::string &Method, const std::string &Url,
                            const std::string &Body) {
  HttpResult Result;
  curl_easy_setopt(this->Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(this->Handle, CURLOPT_WRITEDATA, &Result.Body);
  bool HasBody = Method != "GET" && Method != "DELETE";
  curl_easy_setopt(this->Handle, CURLOPT_HTTPGET, 1L);
  if (HasBody) {
    curl_easy_setopt(this->Handle, CURLOPT_POST, 1L);
    curl_easy_setopt(this->Handle, CURLOPT_POSTFIELDS, Body.data());
    curl_easy_setopt(this->Handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Body.size()));
  }
  curl_easy_setopt(this->Handle, CURLOPT_CUSTOMREQUEST, Method.c_str());
  CURLcode Code = curl_easy_perform(this->Handle);
  if (Code == CURLE_OK)
    curl_easy_getinfo(this->Handle, CURLINFO_RESPONSE_CODE, &Result.Status);
  else
    Result.Problem = curl_easy_strerror(Code);
  return Result;
}

} // namespace yardwheel
