//===- http/http_message.h - Requests and answers ---------------*- C++ -*-===//
///
/// \file
/// Requests and answers as handlers see them, independent of their format on
/// the wire.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_HTTP_MESSAGE_H
#define YARDWHEEL_HTTP_HTTP_MESSAGE_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yardwheel {

enum class HttpMethod { Get, Post, Put, Patch, Delete, Other };

/// HTTP status codes in use, as RFC 9110 defines them.
enum class HttpStatus {
  Ok = 200,
  Accepted = 202,
  TemporaryRedirect = 307,
  BadRequest = 400,
  NotFound = 404,
  MethodNotAllowed = 405,
  RequestTimeout = 408,
  Conflict = 409,
  Gone = 410,
  PayloadTooLarge = 413,
  Misdirected = 421,
  Unprocessable = 422,
  TooManyRequests = 429,
  HeadTooLarge = 431,
  NotImplemented = 501,
  BadGateway = 502,
  Unavailable = 503,
  GatewayTimeout = 504,
};

struct HttpRequest {
  HttpMethod Method = HttpMethod::Other;
  /// The components of the path, percent-decoded.
  std::vector<std::string> Path;
  /// The path as it was sent.
  std::string Resource;
  std::string Body;
  /// The headers in which an agent names a task to its upstream; else empty.
  std::string Job;
  std::string Task;
  /// Those headers of the request that the server's options name.
  std::map<std::string, std::string> Headers;
  /// The id of the request's connection.
  std::uint64_t Connection = 0;
};

struct HttpAnswer {
  HttpStatus Status = HttpStatus::Ok;
  std::string Body;
  std::string ContentType = "application/json";
  /// When the client should retry; no header is sent if 0.
  std::chrono::milliseconds RetryAfter{};
  /// The target of a redirect.
  std::string Location;
  /// Closes the connection, so that the client's next request can reach another
  /// process.
  bool Close = false;
};

/// The form of an answer, as determined by its request.
struct AnswerForm {
  bool IsHttp10 = false;
  /// Whether the connection stays open for another request.
  bool KeepsConnection = true;
  /// False for HEAD: only the length of the body is sent.
  bool HasBody = true;
};

/// Returns the answer's head and body in wire format.
std::string describeAnswer(const HttpAnswer &Answer, const AnswerForm &Form);

} // namespace yardwheel

#endif
