//===- http/http_server.h - HTTP through Pistache ---------------*- C++ -*-===//
///
/// \file
/// The only part that uses Pistache, which accepts and reads connections. A
/// handler gets a request and a reply object, which it may use later and from
/// any thread.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_HTTP_SERVER_H
#define YARDWHEEL_HTTP_HTTP_SERVER_H

#include "http/answer_counters.h"
#include "http/http_message.h"
#include "http/request_age.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

/// Answers a request once; further answers are dropped.
class HttpReply {
public:
  virtual ~HttpReply() = default;
  virtual void send(const HttpAnswer &Answer) = 0;
  /// Returns whether the client still has its connection open, as far as this
  /// host knows. Costs a system call.
  virtual bool hasClient() const { return true; }
  /// Returns the age of the request; none if the host does not provide it. Only
  /// valid while the request is being handled. Costs system calls.
  virtual std::optional<RequestAge> age() const { return std::nullopt; }
};

class HttpHandler {
public:
  virtual ~HttpHandler() = default;
  /// Handles a request. Called on the server's threads.
  virtual void handle(const HttpRequest &Request,
                      std::shared_ptr<HttpReply> Reply) = 0;
  /// Called on the server's threads when a client has closed its connection.
  virtual void onDisconnect(std::uint64_t) {}
};

struct HttpServerOptions {
  std::string Listen;
  std::uint32_t Threads = 2;
  std::size_t MaxBodyBytes = 1048576;
  /// The limit of what all connections hold: requests that are being read or
  /// wait for their answer, in bytes. Requests beyond it are refused.
  std::size_t MaxInputBytes = 33554432;
  /// The timeout for a whole request, from its first byte, and for the first
  /// byte on a new connection.
  std::chrono::milliseconds HeaderTimeout{5000};
  /// The timeout between an answer and the next request on its connection.
  std::chrono::milliseconds IdleTimeout{300000};
  /// The names of the headers that handlers use.
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
  /// Returns the counters of written answers. Thread-safe.
  const AnswerCounters &answers() const;
  /// Returns the number of open connections, of which each takes two
  /// descriptors. Thread-safe.
  std::size_t connections() const;
  /// Returns what all connections hold, in bytes. Thread-safe.
  std::size_t inputBytes() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> Inner;
};

} // namespace yardwheel

#endif
