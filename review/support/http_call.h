//===- review/support/http_call.h - One HTTP call ---------------*- C++ -*-===//
///
/// \file
/// Sends one HTTP/1.1 request on a connection of its own, as clients, the
/// operator and minions do. Follows no redirect.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_REVIEW_SUPPORT_HTTP_CALL_H
#define YARDWHEEL_REVIEW_SUPPORT_HTTP_CALL_H

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace yardwheel::review {

struct Response {
  /// 0 if there was no complete response in time.
  int Status = 0;
  std::string Body;
  /// The address in the Location header; empty without one.
  std::string Location;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// \param Address "IP:PORT".
Response callHttp(const std::string &Address, const std::string &Method,
                  const std::string &Path, const std::string &Body,
                  std::chrono::milliseconds Timeout,
                  const HeaderList &Headers = {});

} // namespace yardwheel::review

#endif
