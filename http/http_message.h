//===- http/http_message.h - Requests and answers ---------------*- C++ -*-===//
///
/// \file
/// A request as handlers get it and an answer as they give it, without the
/// bytes on the wire.
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
  /// The path's parts, percent-decoded.
  std::vector<std::string> Path;
  /// The path as it was sent.
  std::string Resource;
  std::string Body;
  /// The headers by which an agent names a task to its upstream; else empty.
  std::string Job;
  std::string Task;
  /// The headers that the server's options name, where the request has them.
  std::map<std::string, std::string> Headers;
  /// Names the connection that the request came on.
  std::uint64_t Connection = 0;
};

struct HttpAnswer {
  HttpStatus Status = HttpStatus::Ok;
  std::string Body;
  std::string ContentType = "application/json";
  /// When a client should come back; 0 says nothing.
  std::chrono::milliseconds RetryAfter{};
  /// Where a redirected client should go.
  std::string Location;
  /// Ends the connection, for the client's next request to find another
  /// process.
  bool Close = false;
};

/// What a request says of the form of its answer.
struct AnswerForm {
  bool IsHttp10 = false;
  /// Whether the connection stays open for another request.
  bool KeepsConnection = true;
  /// The body of an answer to HEAD is only told the length of.
  bool HasBody = true;
};

/// The answer's head and body, as they are sent.
std::string describeAnswer(const HttpAnswer &Answer, const AnswerForm &Form);

} // namespace yardwheel

#endif
