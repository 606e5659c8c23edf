#include "consensus/file_log_storage.h"
#include "control/control_http.h"
#include "main/process.h"
#include "main/wiring.h"
#include "transport/link_node.h"

namespace yardwheel {

namespace {

class ControlProcess final : public Process {
public:
  explicit ControlProcess(const Settings &Values);
  ~ControlProcess() override { this->stop(); }
  void drain() override;

private:
  ControlOptions controlOptions() const;
  void receive(const peer::Envelope &Envelope, Instant Now);
  void tick(Instant Now);
  void stop();

  Settings Values;
  std::uint64_t Incarnation = newIncarnation();
  Logger Log{"control"};
  SystemClock Source;
  FileLogStorage Storage;
  LinkNode Node;
  ControlService Service;
  std::shared_ptr<ControlHttp> Http;
  std::atomic<std::size_t> OpenProposals{0};
  bool WasLeader = false;
  HttpServer OperatorServer;
};

ControlProcess::ControlProcess(const Settings &Values)
    : Values(Values),
      Storage(Values.Control.DataDir, Values.Cluster, Values.Node),
      Node(identityOf(Values, peer::ROLE_CONTROL, this->Incarnation), {},
           this->Source, TickInterval),
      Service(this->controlOptions(), this->Storage, this->Node.links(),
              this->Source.now()),
      Http(std::make_shared<ControlHttp>(this->Node.loop(), this->Service,
                                         Values.Node, this->Incarnation)),
      OperatorServer({.Listen = Values.Control.HttpListen}, this->Http) {
  if (this->Storage.tornBytes() > 0)
    this->Log.warning("Removed an incomplete tail of {} bytes from the log.",
                      this->Storage.tornBytes());
  this->Node.start({[this](Instant Now) { this->tick(Now); },
                    [this](const peer::Envelope &Envelope, Instant Now) {
                      this->receive(Envelope, Now);
                    },
                    nullptr});
  this->Log.info("Control replica {} accepts operator requests at {}.",
                 Values.Node, Values.Control.HttpListen);
}

ControlOptions ControlProcess::controlOptions() const {
  ControlOptions Options;
  Options.Raft.Name = this->Values.Node;
  Options.Raft.ElectionTimeout = this->Values.Control.ElectionTimeout;
  Options.Raft.EntriesPerSnapshot = this->Values.Control.EntriesPerSnapshot;
  Options.Raft.Seed = this->Incarnation;
  Options.Groups.Groups = this->Values.Control.HolderGroups;
  Options.Groups.ReplaceAfter = this->Values.Control.HolderReplaceAfter;
  Options.Lease = this->Values.Control.Lease;
  Options.ProposalTimeout = this->Values.Control.ProposalTimeout;
  return Options;
}

void ControlProcess::receive(const peer::Envelope &Envelope, Instant Now) {
  PeerRef From{Envelope.sender(), Envelope.sender_address()};
  for (const peer::Message &Message : Envelope.messages())
    this->Service.onMessage(From, Message, Now);
}

void ControlProcess::tick(Instant Now) {
  this->Service.tick(Now);
  this->Node.links().setRevision(this->Service.catalog().revision());
  this->OpenProposals.store(this->Service.pendingProposals());
  bool Leads = this->Service.raft().leads();
  if (Leads != this->WasLeader)
    this->Log.info("Replica {} {} in term {}.", this->Values.Node,
                   Leads ? "leads" : "no longer leads",
                   this->Service.raft().term());
  this->WasLeader = Leads;
}

void ControlProcess::drain() {
  this->Log.info("Control replica {} is draining.", this->Values.Node);
  this->Http->drain();
  waitUntil(this->Values.Control.ProposalTimeout,
            [this] { return this->OpenProposals.load() == 0; });
  this->Node.loop().post([this](Instant Now) { this->Service.drain(Now); });
  constexpr std::chrono::milliseconds Flush{200};
  std::this_thread::sleep_for(Flush);
  this->stop();
}

void ControlProcess::stop() {
  this->OperatorServer.stop();
  this->Node.stop();
}

} // namespace

std::unique_ptr<Process> startControl(const Settings &Values) {
  return std::make_unique<ControlProcess>(Values);
}

} // namespace yardwheel
