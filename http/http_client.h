//===- http/http_client.h - Single HTTP calls through libcurl ---*- C++ -*-===//
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
  /// 0 if there was no answer.
  long Status = 0;
  std::string Body;
  /// What went wrong where Status is 0.
  std::string Problem;
};

/// Keeps its connection between calls. Not for use by two threads at once.
class HttpClient {
public:
  explicit HttpClient(std::chrono::milliseconds Timeout);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// \param Method Such as "GET". Redirects are followed with the method kept.
  HttpResult call(const std::string &Method, const std::string &Url,
                  const std::string &Body = "");

private:
  CURL *Handle = nullptr;
  curl_slist *Headers = nullptr;
};

} // namespace yardwheel

#endif
