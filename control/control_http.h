//===- control/control_http.h - The operators' interface --------*- C++ -*-===//
///
/// \file
/// The HTTP interface for operators and tools. Every read except the status is
/// confirmed by a quorum. A follower redirects the caller to the leader.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONTROL_CONTROL_HTTP_H
#define YARDWHEEL_CONTROL_CONTROL_HTTP_H

#include "control/control_service.h"
#include "http/http_server.h"
#include "protocol/api.pb.h"
#include "transport/event_loop.h"

#include <atomic>
#include <memory>
#include <random>
#include <string>

namespace yardwheel {

class ControlHttp final : public HttpHandler {
public:
  ControlHttp(EventLoop &Loop, ControlService &Service, std::string Replica,
              std::uint64_t Seed);

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override;

  /// Makes /readyz report "not ready", so that load balancers stop sending
  /// requests here.
  void drain() { this->Draining.store(true); }

private:
  using ReplyPtr = std::shared_ptr<HttpReply>;

  void route(const HttpRequest &Request, const ReplyPtr &Reply, Instant Now);
  void routeHealth(const HttpRequest &Request, const ReplyPtr &Reply);
  bool routeRead(const HttpRequest &Request, const ReplyPtr &Reply,
                 Instant Now);
  bool routeChange(const HttpRequest &Request, const ReplyPtr &Reply,
                   Instant Now);

  void listTemplates(const ReplyPtr &Reply) const;
  void showTemplate(const std::string &Name, const ReplyPtr &Reply) const;
  void listWorkspaces(const ReplyPtr &Reply) const;
  void showWorkspace(const std::string &Name, const ReplyPtr &Reply) const;
  void listMembers(const ReplyPtr &Reply) const;
  void listEvacuations(const ReplyPtr &Reply) const;
  void showMetrics(const ReplyPtr &Reply) const;

  void putTemplate(const HttpRequest &Request, const ReplyPtr &Reply,
                   Instant Now);
  void changeWorkspace(const HttpRequest &Request, const ReplyPtr &Reply,
                       Instant Now);
  void putExperiment(const HttpRequest &Request, const ReplyPtr &Reply,
                     Instant Now);
  void changeReplicas(const HttpRequest &Request, const ReplyPtr &Reply,
                      Instant Now);
  void changeEvacuation(const HttpRequest &Request, const ReplyPtr &Reply,
                        Instant Now);
  void submit(peer::Change Change, const HttpRequest &Request,
              const ReplyPtr &Reply, Instant Now);
  void answerChange(const ProposalOutcome &Outcome, const std::string &Id,
                    const HttpRequest &Request, const ReplyPtr &Reply) const;
  void redirect(const HttpRequest &Request, const ReplyPtr &Reply) const;
  std::string newChangeId(Instant Now);

  EventLoop &Loop;
  ControlService &Service;
  std::string Replica;
  std::mt19937_64 Random;
  std::atomic<bool> Draining{false};
};

} // namespace yardwheel

#endif
