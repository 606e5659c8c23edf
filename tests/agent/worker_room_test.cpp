//===- Changes of a worker's room within one incarnation ------------------===//
//
// A worker's room may change within one incarnation; its announcements report
// it. An agent that keeps to the room of the first announcement starts too many
// tasks: after a worker with 4 running tasks of 1 core had shrunk from 4 cores
// to 2, it was sent a fifth task as soon as one of the four ended.
//
//===----------------------------------------------------------------------===//

#include "coordination/worker_table.h"
#include "tests/agent/keeper_fixture.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Core = 1000;
const PeerRef Entry{"entry", "10.0.0.1:1"};

/// An agent and its worker.
class RoomFixture {
public:
  RoomFixture() : Keeper(options(), this->Sink, this->Port) {
    this->announce(1, 4);
    WorkerReply Ready;
    Ready.Answered = true;
    this->Keeper.session().onHoldReply({"w"}, Ready, this->Now);
  }

  void announce(std::uint64_t Sequence, std::uint32_t Cores,
                std::uint32_t MemoryMb = 1000) {
    WorkerProfile Profile;
    Profile.Id = WorkerId;
    Profile.Pool = "pool";
    Profile.Sequence = Sequence;
    Profile.Room.set_cpu_milli(Cores * Core);
    Profile.Room.set_memory_mb(MemoryMb);
    this->Keeper.onProfile(Profile, this->Now);
  }
  /// Sends tasks of \p Cores cores each.
  void dispatch(const std::string &Job, std::uint32_t Tasks,
                std::uint64_t Offer = 0, std::uint32_t Cores = 1) {
    peer::Message Message;
    peer::LeasedDispatch *Order = Message.mutable_leased_dispatch();
    Order->set_job(Job);
    Order->set_agent_incarnation(AgentIncarnation);
    Order->set_stamp(LeaseKeeper::stampAt(this->Now));
    Order->set_start_by_ms(500);
    Order->set_give_up_ms(2000);
    Order->set_offer(Offer);
    Order->set_start_or_refuse(Offer > 0);
    Order->mutable_needs()->set_cpu_milli(Cores * Core);
    for (std::uint32_t I = 0; I < Tasks; ++I) {
      peer::LeasedTask *Task = Order->add_tasks();
      Task->set_index(I);
      Task->set_attempt(1);
      Task->set_order(++this->LastOrder);
    }
    this->Keeper.onMessage(Entry, Message, this->Now);
  }
  void askForOffer(const std::string &Job, std::uint32_t Tasks) {
    peer::Message Message;
    peer::LeasedInterest *Interest = Message.mutable_leased_interest();
    Interest->set_job(Job);
    Interest->set_agent_incarnation(AgentIncarnation);
    Interest->mutable_needs()->set_cpu_milli(Core);
    Interest->set_tasks(Tasks);
    Interest->set_start_by_ms(500);
    this->Keeper.onMessage(Entry, Message, this->Now);
  }
  void endFirst() {
    WorkerReply Reply;
    Reply.Answered = true;
    Reply.Ended.push_back({++this->Ends, this->Port.Starts[this->Ends - 1].Run,
                           RunOutcome::Done});
    this->Keeper.session().onHoldReply({"w"}, Reply, this->Now);
  }
  peer::WorkerLoad load() {
    peer::Message Message;
    Message.mutable_lease_renewal()->set_agent_incarnation(AgentIncarnation);
    Message.mutable_lease_renewal()->set_stamp(LeaseKeeper::stampAt(this->Now));
    this->Keeper.onMessage(Entry, Message, this->Now);
    return this->Sink.Load;
  }
  std::size_t running() const { return this->Port.Starts.size() - this->Ends; }
  std::size_t refusedBusy() const {
    return static_cast<std::size_t>(
        std::count_if(this->Sink.Updates.begin(), this->Sink.Updates.end(),
                      [](const peer::LeasedUpdate &Update) {
                        return Update.event() == peer::LEASED_NOT_STARTED &&
                               Update.refusal() == peer::REFUSAL_BUSY;
                      }));
  }

  FakeWorkerPort Port;
  CollectingSink Sink;
  Instant Now{TimePoint(1h), fromUnixMillis(1800000000000)};
  LeaseKeeper Keeper;

private:
  static KeeperOptions options() {
    KeeperOptions Options;
    Options.Incarnation = AgentIncarnation;
    return Options;
  }
  std::uint64_t LastOrder = 0;
  std::uint64_t Ends = 0;
};

} // namespace

TEST_GROUP(WorkerRoomTest){};

TEST(WorkerRoomTest, TheNewestAnnouncementOfAnIncarnationApplies) {
  struct Announcement {
    std::uint64_t Sequence;
    std::uint32_t Cores;
  };
  struct Row {
    const char *Name;
    std::vector<Announcement> Announcements;
    std::uint32_t Cores;
  };
  const Row Rows[] = {
      {"shrinks", {{2, 2}}, 2},
      {"shrinks and grows", {{2, 2}, {3, 8}}, 8},
      {"a late announcement after a newer one", {{3, 2}, {2, 8}}, 2},
      {"the same announcement twice", {{2, 2}, {2, 8}}, 2},
      {"to nothing", {{2, 0}}, 0},
      {"and back", {{2, 0}, {3, 4}}, 4}};
  for (const Row &Row : Rows) {
    RoomFixture Fixture;
    for (const Announcement &Said : Row.Announcements)
      Fixture.announce(Said.Sequence, Said.Cores);
    LONGS_EQUAL_TEXT(Row.Cores * Core, Fixture.load().room().cpu_milli(),
                     Row.Name);
    Fixture.dispatch("job", 10);
    LONGS_EQUAL_TEXT(Row.Cores, Fixture.running(), Row.Name);
  }
}

TEST(WorkerRoomTest, RunsContinueAndNothingStartsUntilItFits) {
  RoomFixture Fixture;
  Fixture.dispatch("running", 4);
  Fixture.announce(2, 2);
  LONGS_EQUAL(0, Fixture.Port.Stops.size());
  Fixture.dispatch("next", 1);
  Fixture.endFirst();
  Fixture.endFirst();
  LONGS_EQUAL(4, Fixture.Port.Starts.size());
  Fixture.endFirst();
  LONGS_EQUAL(5, Fixture.Port.Starts.size());
}

TEST(WorkerRoomTest, QueuedTasksAreRejectedAsNotStarted) {
  RoomFixture Fixture;
  Fixture.dispatch("running", 4);
  Fixture.dispatch("waits", 3);
  Fixture.announce(2, 2);
  LONGS_EQUAL(3, Fixture.refusedBusy());
  LONGS_EQUAL(4, Fixture.Port.Starts.size());
}

// Otherwise the task would block the head of the queue forever.
TEST(WorkerRoomTest, ATaskLargerThanTheRoomIsRefusedAndBlocksNoOthers) {
  RoomFixture Fixture;
  Fixture.dispatch("large", 1, 0, /*Cores=*/3);
  Fixture.dispatch("waits", 1, 0, /*Cores=*/3);
  Fixture.endFirst();
  LONGS_EQUAL(2, Fixture.Port.Starts.size());
  Fixture.dispatch("waits on", 1, 0, /*Cores=*/3);
  Fixture.announce(2, 3);
  LONGS_EQUAL(0, Fixture.refusedBusy());
  Fixture.announce(3, 2);
  LONGS_EQUAL(1, Fixture.refusedBusy());
  Fixture.endFirst();
  Fixture.dispatch("too large", 1, 0, /*Cores=*/3);
  LONGS_EQUAL(2, Fixture.refusedBusy());
  Fixture.dispatch("small", 2);
  LONGS_EQUAL(4, Fixture.Port.Starts.size());
}

TEST(WorkerRoomTest, AnOfferOfRoomThatIsGoneStartsNothing) {
  RoomFixture Fixture;
  Fixture.dispatch("running", 2);
  Fixture.askForOffer("offered", 2);
  LONGS_EQUAL(1, Fixture.Sink.Offers.size());
  Fixture.announce(2, 3);
  Fixture.dispatch("offered", 2, Fixture.Sink.Offers.front().offer());
  LONGS_EQUAL(3, Fixture.Port.Starts.size());
  LONGS_EQUAL(1, Fixture.refusedBusy());
}

TEST(WorkerRoomTest, AddedRoomIsUsedAtOnce) {
  RoomFixture Fixture;
  Fixture.dispatch("running", 4);
  Fixture.dispatch("waits", 3);
  Fixture.announce(2, 6);
  LONGS_EQUAL(6, Fixture.Port.Starts.size());
}

// An entry learns the room from the next load. Neither an older load nor the
// later report of a control may undo that.
TEST(WorkerRoomTest, AnEntryPlacesByTheRoomThatTheAgentReports) {
  TimePoint Now(1h);
  WorkerTable Table(WorkerTableOptions(), 1);
  peer::Member Member;
  Member.set_name("a");
  Member.set_incarnation(AgentIncarnation);
  Member.set_state(peer::MEMBER_ALIVE);
  Member.set_pool("pool");
  Member.mutable_room()->set_cpu_milli(4 * Core);
  Table.update(Member, Now);
  auto Hear = [&](std::uint64_t Stamp, std::uint32_t Cores) {
    peer::WorkerLoad Load;
    Load.set_incarnation(AgentIncarnation);
    Load.set_stamp(Stamp);
    Load.mutable_room()->set_cpu_milli(Cores * Core);
    Table.onLoadReport("a", Load, Now);
    return Table.find("a")->Capacity.cpu_milli();
  };
  LONGS_EQUAL(2 * Core, Hear(20, 2));
  LONGS_EQUAL(2 * Core, Hear(10, 8));
  Table.update(Member, Now);
  LONGS_EQUAL(2 * Core, Table.find("a")->Capacity.cpu_milli());
  LONGS_EQUAL(0, Hear(30, 0));
  LeasedJobRequest Job;
  Job.Pool = "pool";
  Job.Needs.set_cpu_milli(Core);
  CHECK_FALSE(Table.hasEligibleWorker(Job, {}, Now));
  LONGS_EQUAL(6 * Core, Hear(40, 6));
  CHECK(Table.hasEligibleWorker(Job, {}, Now));
}
