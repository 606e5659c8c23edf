//===- http/http_client.h - Blocking HTTP calls by libcurl ------*- C++ -*-===//
///
/// \file
/// A small blocking client for the tools and the tests.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_HTTP_CLIENT_H
#define YARDWHEEL_HTTP_HTTP_CLIENT_H

#include <chrono>
#include <curl/curl.h>
#include <string>

namespace yardwheel {

struct HttpResult {
  /// The HTTP status; 0 if there was no answer.
  long Status = 0;
  std::string Body;
  /// The error if Status is 0.
  std::string Problem;
};

/// Keeps its connection open between calls. Not thread-safe.
class HttpClient {
public:
  explicit HttpClient(std::chrono::milliseconds Timeout);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// \param Method For example "GET". Kept when a redirect is followed.
  HttpResult call(const std::string &Method, const std::string &Url,
                  const std::string &Body = "");

private:
  CURL *Handle = nullptr;
  curl_slist *Headers = nullptr;
};

} // namespace yardwheel

#endif
