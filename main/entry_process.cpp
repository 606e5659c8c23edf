#include "entry/entry_http.h"
#include "main/process.h"
#include "main/wiring.h"
#include "transport/link_node.h"

namespace yardwheel {

namespace {

class EntryProcess final : public Process, AnnouncerEvents {
public:
  explicit EntryProcess(const Settings &Values);
  ~EntryProcess() override { this->stop(); }
  void drain() override;

  void onConfirmed(TimePoint Asked) override;
  void onCatalog(Instant Now) override;
  void onMember(const peer::Member &Member, Instant Now) override;

private:
  ServiceOptions serviceOptions() const;
  peer::Member selfAsMember() const;
  void receive(const peer::Envelope &Envelope, Instant Now);
  void tick(Instant Now);
  void stop();

  Settings Values;
  std::uint64_t Incarnation = newIncarnation();
  Logger Log{"entry"};
  SystemClock Source;
  NodeCatalog Catalog;
  JobMetrics Metrics;
  std::atomic<std::size_t> InFlight{0};
  LinkNode Node;
  std::shared_ptr<EntryHttp> Http;
  JobService Service;
  Announcer Announce;
  HttpServer CallerServer;
};

EntryProcess::EntryProcess(const Settings &Values)
    : Values(Values),
      Node(identityOf(Values, peer::ROLE_ENTRY, this->Incarnation), {},
           this->Source, TickInterval),
      Http(std::make_shared<EntryHttp>(this->Source, this->Catalog,
                                       this->Metrics,
                                       this->Node.links().counters(),
                                       Values.Node, Values.Entry.WaitTimeout)),
      Service(this->serviceOptions(), this->Node.links(), *this->Http,
              this->Metrics),
      Announce(announcerOptions(Values), this->selfAsMember(), this->Catalog,
               this->Node.links(), *this),
      CallerServer(
          (this->Http->connect(this->Node.loop(), this->Service),
           HttpServerOptions{.Listen = Values.Entry.HttpListen,
                             .Threads = Values.Entry.HttpThreads,
                             .MaxBodyBytes = Values.Entry.MaxBodyBytes,
                             .HeaderTimeout = Values.Entry.HeaderTimeout}),
          this->Http) {
  this->Node.start({[this](Instant Now) { this->tick(Now); },
                    [this](const peer::Envelope &Envelope, Instant Now) {
                      this->receive(Envelope, Now);
                    },
                    [this](const Undelivered &Lost, Instant Now) {
                      this->Service.onSendFailed(Lost.To.Node, Now);
                    }});
  this->Log.info("Entry {} accepts jobs at {}.", Values.Node,
                 Values.Entry.HttpListen);
}

ServiceOptions EntryProcess::serviceOptions() const {
  ServiceOptions Options;
  Options.Self.set_entry(this->Values.Node);
  Options.Self.set_incarnation(this->Incarnation);
  Options.Self.set_address(this->Values.Listen);
  Options.ClockAllowance = this->Values.ClockAllowance;
  Options.LedgerRetention = this->Values.LedgerRetention;
  Options.Claims.Timeout = this->Values.Entry.ClaimTimeout;
  Options.MaxUnconfirmed = this->Values.Entry.MaxUnconfirmed;
  Options.MaxJobs = this->Values.Entry.MaxJobs;
  constexpr std::size_t BytesPerMb = 1048576;
  Options.MaxAnswerBytes = this->Values.Entry.MaxAnswersMb * BytesPerMb;
  Options.Runner.Seed = this->Incarnation;
  return Options;
}

peer::Member EntryProcess::selfAsMember() const {
  peer::Member Self =
      memberOf(this->Values, peer::ROLE_ENTRY, this->Incarnation);
  Self.set_http_address(this->Values.Entry.HttpListen);
  return Self;
}

void EntryProcess::receive(const peer::Envelope &Envelope, Instant Now) {
  deliver(Envelope, this->Announce, this->Service, Now);
}

void EntryProcess::tick(Instant Now) {
  this->Announce.tick(Now);
  this->Service.tick(Now);
  this->Http->tick(Now.Steady);
  this->Http->setReady(this->Service.isConfirmed(Now.Steady) &&
                       !this->Service.isDraining());
  this->InFlight.store(this->Service.inFlight() + this->Http->waiting());
}

void EntryProcess::onConfirmed(TimePoint Asked) {
  this->Service.confirm(Asked);
}

void EntryProcess::onCatalog(Instant) {
  this->Node.links().setRevision(this->Catalog.revision());
  this->Service.setCatalog(this->Catalog.view());
  this->Log.info("Configuration revision {} is in force.",
                 this->Catalog.revision());
}

void EntryProcess::onMember(const peer::Member &Member, Instant Now) {
  this->Log.debug("Member {} is now in state {}.", Member.name(),
                  static_cast<int>(Member.state()));
  this->Service.onMember(Member, Now.Steady);
}

void EntryProcess::drain() {
  this->Log.info("Entry {} is draining.", this->Values.Node);
  // Readiness is withdrawn from the load balancer before the cluster is told.
  this->Http->setReady(false);
  this->InFlight.store(SIZE_MAX);
  this->Node.loop().post([this](Instant Now) {
    this->Service.drain();
    this->Announce.update(
        [](peer::Member &Self) { Self.set_state(peer::MEMBER_LEAVING); }, Now);
  });
  bool Done = waitUntil(this->Values.Entry.DrainTimeout,
                        [this] { return this->InFlight.load() == 0; });
  if (!Done)
    this->Log.warning("Entry {} stops with {} requests in flight.",
                      this->Values.Node, this->InFlight.load());
  // The server needs time to write the last responses to their sockets.
  constexpr std::chrono::milliseconds Flush{200};
  std::this_thread::sleep_for(Flush);
  this->stop();
}

void EntryProcess::stop() {
  this->CallerServer.stop();
  this->Node.stop();
}

} // namespace

std::unique_ptr<Process> startEntry(const Settings &Values) {
  return std::make_unique<EntryProcess>(Values);
}

} // namespace yardwheel
