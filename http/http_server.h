//===- http/http_server.h - HTTP through Pistache ---------------*- C++ -*-===//
///
/// \file
/// The one place that knows Pistache. A handler gets a plain request and a
/// reply that it may answer later, from any thread.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_HTTP_SERVER_H
#define YARDWHEEL_HTTP_HTTP_SERVER_H

#include "http/answer_counters.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
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
  Conflict = 409,
  Gone = 410,
  Unprocessable = 422,
  TooManyRequests = 429,
  Misdirected = 421,
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
  /// Asks the client to end the connection, for its next request to find
  /// another process.
  bool Close = false;
};

/// Answers one request, once; later answers are dropped.
class HttpReply {
public:
  virtual ~HttpReply() = default;
  virtual void send(const HttpAnswer &Answer) = 0;
  /// Whether the client has not closed its connection, as far as is known
  /// here; costs a system call.
  virtual bool hasClient() const { return true; }
};

class HttpHandler {
public:
  virtual ~HttpHandler() = default;
  /// Called on the server's threads.
  virtual void handle(const HttpRequest &Request,
                      std::shared_ptr<HttpReply> Reply) = 0;
  /// Called on the server's threads when a client has closed its connection.
  virtual void onDisconnect(std::uint64_t) {}
};

struct HttpServerOptions {
  std::string Listen;
  std::uint32_t Threads = 2;
  std::size_t MaxBodyBytes = 1048576;
  std::chrono::milliseconds HeaderTimeout{5000};
  /// Names of the headers that handlers ask for.
  std::vector<std::string> Headers;
};

class HttpServer {
public:
  /// \throws Error if the address cannot be bound.
  HttpServer(const HttpServerOptions &Options,
             std::shared_ptr<HttpHandler> Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  void stop();
  /// The answers written so far; for any thread.
  const AnswerCounters &answers() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> Inner;
};

} // namespace yardwheel

#endif
