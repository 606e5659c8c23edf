//===- review/second/web_client.h - An HTTP client --------------*- C++ -*-===//
///
/// \file
/// Sends one HTTP/1.1 request on a new connection, as the users' clients and
/// operators do.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_REVIEW_SECOND_WEB_CLIENT_H
#define YARDWHEEL_REVIEW_SECOND_WEB_CLIENT_H

#include <chrono>
#include <netinet/in.h>
#include <string>

namespace yardwheel {

struct WebRequest {
  /// "IP:PORT" to connect to.
  std::string Address;
  std::string Method = "GET";
  std::string Path;
  std::string Host;
  std::string Body;
  /// Sent as X-Yardwheel-Deadline-Ms if above 0.
  std::chrono::milliseconds Deadline{0};
  /// How long to wait for the whole answer.
  std::chrono::milliseconds Timeout{1000};
};

struct WebAnswer {
  /// 0 without a whole answer.
  int Status = 0;
  std::string Location;
  std::string Body;
};

/// Parses "IP:PORT".
sockaddr_in addressOf(const std::string &Address);
/// \returns a connected socket, or -1.
int connectTo(const std::string &Address);

WebAnswer request(const WebRequest &Wanted);

/// The same; follows a 307 twice.
WebAnswer requestFollowing(WebRequest Wanted);

} // namespace yardwheel

#endif
