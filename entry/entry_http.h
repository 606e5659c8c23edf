//===- entry/entry_http.h - HTTP interface for callers ----------*- C++ -*-===//
///
/// \file
/// HTTP interface for callers: submissions, later queries, cancellation, health
/// and metrics. The server's threads decode and validate requests, using a view
/// of the configuration that they read without a lock.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_ENTRY_HTTP_H
#define YARDWHEEL_ENTRY_ENTRY_HTTP_H

#include "catalog/node_catalog.h"
#include "core/clock.h"
#include "entry/job_metrics.h"
#include "entry/job_service.h"
#include "http/http_server.h"
#include "transport/event_loop.h"
#include "transport/link_pool.h"

#include <atomic>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace yardwheel {

class EntryHttp final : public HttpHandler, public OutcomeSink {
public:
  EntryHttp(const Clock &Source, const NodeCatalog &Catalog,
            const JobMetrics &Metrics, const LinkCounters &Links,
            std::string Node, std::chrono::milliseconds WaitTimeout);

  /// Must be called before the first request arrives.
  void connect(EventLoop &NewLoop, JobService &NewService);

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override;
  void onOutcome(Ticket Ticket, const peer::JobOutcome *Outcome) override;

  /// Sends the status "pending" to callers that have waited for the whole wait
  /// timeout.
  void tick(TimePoint Now);

  /// Sets the state reported by /readyz.
  void setReady(bool NewReady) { this->Ready.store(NewReady); }
  /// Returns the number of requests that wait for their outcome. Call only on
  /// the event loop's thread.
  std::size_t waiting() const { return this->Waiting.size(); }

private:
  struct Waiter {
    std::shared_ptr<HttpReply> Reply;
    std::string Workspace;
    std::string Id;
    TimePoint GiveUpAt;
  };

  void routeHealth(const HttpRequest &Request, HttpReply &Reply) const;
  void submit(const HttpRequest &Request,
              const std::shared_ptr<HttpReply> &Reply);
  void query(const HttpRequest &Request, QueryKind Kind,
             const std::shared_ptr<HttpReply> &Reply);
  void addWaiter(Ticket Number, Waiter New);
  void report(const HttpRequest &Request, HttpReply &Reply) const;

  Logger Log{"answer"};
  const Clock &Source;
  const NodeCatalog &Catalog;
  const JobMetrics &Metrics;
  const LinkCounters &Links;
  std::string Node;
  std::chrono::milliseconds WaitTimeout;
  EventLoop *Loop = nullptr;
  JobService *Service = nullptr;
  std::atomic<bool> Ready{false};
  std::atomic<Ticket> LastTicket{0};
  /// Used only on the event loop's thread.
  std::unordered_map<Ticket, Waiter> Waiting;
  std::deque<Ticket> WaitOrder;
};

} // namespace yardwheel

#endif
