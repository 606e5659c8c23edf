//===- http/http_server.h - HTTP through Pistache ---------------*- C++ -*-===//
///
/// \file
/// The one place that knows Pistache, which accepts and reads connections. A
/// handler gets a plain request and a reply that it may answer later, from any
/// thread.
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

/// Answers one request, once; later answers are dropped.
class HttpReply {
public:
  virtual ~HttpReply() = default;
  virtual void send(const HttpAnswer &Answer) = 0;
  /// Whether the client has not closed its connection, as far as is known
  /// here; costs a system call.
  virtual bool hasClient() const { return true; }
  /// For how long the request has been here; none where the host does not
  /// tell. To be asked while the request is handled; costs system calls.
  virtual std::optional<RequestAge> age() const { return std::nullopt; }
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
  /// For a whole request, from its first byte on, and for a new connection's
  /// first byte.
  std::chrono::milliseconds HeaderTimeout{5000};
  /// Between an answer and the next request on its connection.
  std::chrono::milliseconds IdleTimeout{300000};
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
