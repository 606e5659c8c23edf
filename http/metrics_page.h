//===- http/metrics_page.h - Serves metrics as text -------------*- C++ -*-===//
#ifndef YARDWHEEL_HTTP_METRICS_PAGE_H
#define YARDWHEEL_HTTP_METRICS_PAGE_H

#include "http/http_server.h"

#include <atomic>
#include <memory>
#include <string>

namespace yardwheel {

/// Serves the text last published by the process's loop. Neither the loop nor
/// a client waits for the other.
class MetricsPage final : public HttpHandler {
public:
  void handle(const HttpRequest &, std::shared_ptr<HttpReply> Reply) override {
    Reply->send({.Body = *this->Text.load(), .ContentType = "text/plain"});
  }

  void publish(std::string NewText) {
    this->Text.store(std::make_shared<const std::string>(std::move(NewText)));
  }

private:
  std::atomic<std::shared_ptr<const std::string>> Text{
      std::make_shared<const std::string>()};
};

/// Returns a counter or gauge in Prometheus' text format.
template <typename Number>
std::string metricLine(const char *Name, Number Value) {
  return std::string(Name) + " " + std::to_string(Value) + "\n";
}

} // namespace yardwheel

#endif
