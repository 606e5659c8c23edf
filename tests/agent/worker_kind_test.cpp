//===- What an agent checks of its worker before a start ------------------===//
//
// Regression test: an agent started whatever its entry had sent, also tasks
// that required a label that its worker did not have, and told control nothing
// of a worker that had come back under its id as another kind.
//
//===----------------------------------------------------------------------===//

#include "agent/announced_worker.h"
#include "tests/agent/keeper_fixture.h"

#include <optional>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t CpuMilli = 4000;

WorkerProfile profile(const std::string &Id, const std::string &Pool,
                      const std::string &Label) {
  WorkerProfile Profile;
  Profile.Id = Id;
  Profile.Pool = Pool;
  Profile.Labels = {Label, "r1"};
  Profile.Room.set_cpu_milli(CpuMilli);
  Profile.Room.set_memory_mb(1000);
  Profile.Sequence = 1;
  return Profile;
}

} // namespace

TEST_GROUP_BASE(WorkerKindTest, KeeperFixture) {
  LeaseKeeper Keeper{optionsWith(/*FromStamp=*/true), Sink, Port};

  void attachAs(const WorkerProfile &Profile) {
    Keeper.onProfile(Profile, Now);
    Keeper.session().onHoldReply({Profile.Id, Profile.StartUnixMs},
                                 this->replyOf(Profile), Now);
  }
  WorkerReply replyOf(const WorkerProfile &Profile) {
    WorkerReply Reply = plainReply();
    Reply.StartUnixMs = Profile.StartUnixMs;
    return Reply;
  }
  peer::Message requiring(const std::string &Job, const std::string &Pool,
                          const std::string &Label, std::uint32_t MaxTasks = 0,
                          std::uint32_t Tasks = 1) {
    peer::Message Message = dispatch(Job, stamp(), 1000, 100, Tasks);
    peer::LeasedDispatch *Order = Message.mutable_leased_dispatch();
    Order->set_agent_incarnation(Keeper.incarnation());
    Order->mutable_requirement()->set_pool(Pool);
    Order->mutable_requirement()->set_label(Label);
    Order->mutable_requirement()->set_max_tasks(MaxTasks);
    return Message;
  }
};

TEST(WorkerKindTest, OnlyTasksThatTheWorkerSuitsAreStarted) {
  struct Row {
    const char *Pool;
    const char *Label;
    std::uint32_t MaxTasks;
    std::uint32_t Tasks;
    std::size_t Started;
  };
  const Row Rows[] = {
      {"pool", "a", 0, 1, 1}, {"pool", "", 0, 1, 1},   {"pool", "r1", 0, 1, 1},
      {"pool", "b", 0, 1, 0}, {"other", "a", 0, 1, 0}, {"other", "", 0, 1, 0},
      {"", "", 0, 1, 1},      {"pool", "a", 2, 3, 2},  {"pool", "a", 3, 3, 3}};
  for (const Row &Row : Rows) {
    LeaseKeeper Each{optionsWith(/*FromStamp=*/true), Sink, Port};
    Port.Starts.clear();
    Sink.Updates.clear();
    WorkerProfile Present = profile("w", "pool", "a");
    Each.onProfile(Present, Now);
    Each.session().onHoldReply({"w"}, plainReply(), Now);
    Each.onMessage(EntryA,
                   requiring("j", Row.Pool, Row.Label, Row.MaxTasks, Row.Tasks),
                   Now);
    LONGS_EQUAL_TEXT(Row.Started, Port.Starts.size(), Row.Label);
    LONGS_EQUAL(Row.Tasks - Row.Started, Sink.Updates.size());
    for (const peer::LeasedUpdate &Update : Sink.Updates) {
      LONGS_EQUAL(peer::LEASED_NOT_STARTED, Update.event());
      LONGS_EQUAL(peer::REFUSAL_UNSUITABLE, Update.refusal());
      // The entry learns from the refusal what the worker is.
      STRCMP_EQUAL("pool", Update.load().kind().pool().c_str());
      LONGS_EQUAL(2, Update.load().kind().labels_size());
    }
  }
}

// Entries count the tasks on a worker by themselves.
TEST(WorkerKindTest, TasksOfAnotherEntryCountTowardsTheLimitOfAJob) {
  attachAs(profile("w", "pool", "a"));
  Keeper.onMessage(EntryA, requiring("j", "pool", "a", 1), Now);
  peer::Message Other = requiring("j", "pool", "a", 1);
  Other.mutable_leased_dispatch()->mutable_tasks(0)->set_index(1);
  Keeper.onMessage(EntryB, Other, Now);
  LONGS_EQUAL(1, Port.Starts.size());
  LONGS_EQUAL(peer::REFUSAL_UNSUITABLE, Sink.Updates.at(0).refusal());
}

TEST(WorkerKindTest, QueuedTasksAreRefusedWhenAnotherKindTakesOver) {
  attachAs(profile("w", "pool", "a"));
  // The second one waits for room.
  peer::Message Large = requiring("large", "pool", "a");
  Large.mutable_leased_dispatch()->mutable_needs()->set_cpu_milli(CpuMilli);
  Keeper.onMessage(EntryA, Large, Now);
  Keeper.onMessage(EntryA, requiring("waits", "pool", "a"), Now);
  LONGS_EQUAL(1, Port.Starts.size());
  WorkerProfile Next = profile("w2", "pool", "b");
  Keeper.onProfile(Next, Now);
  WorkerReply Gone = plainReply();
  Gone.Refusal = WorkerRefusal::OtherIncarnation;
  Keeper.session().onHoldReply({"w"}, Gone, Now);
  Keeper.session().onHoldReply({"w2"}, plainReply(), Now);
  Keeper.tick(Now);
  LONGS_EQUAL(1, Port.Starts.size());
  LONGS_EQUAL(peer::REFUSAL_UNSUITABLE, Sink.Updates.back().refusal());
  STRCMP_EQUAL("waits", Sink.Updates.back().job().c_str());
}

TEST(WorkerKindTest, RoomIsOfferedOnlyToTasksThatTheWorkerSuits) {
  attachAs(profile("w", "pool", "a"));
  for (const char *Label : {"b", "a"}) {
    peer::Message Message = interest("j", 1, 100);
    Message.mutable_leased_interest()->mutable_requirement()->set_pool("pool");
    Message.mutable_leased_interest()->mutable_requirement()->set_label(Label);
    Keeper.onMessage(EntryA, Message, Now);
    LONGS_EQUAL(std::string(Label) == "a" ? 1 : 0, Sink.Offers.size());
  }
}

TEST(WorkerKindTest, EntriesAreToldTheKindOnceAndWhenTheyAsk) {
  attachAs(profile("w", "pool", "a"));
  peer::Message Message = renewal(stamp());
  for (const PeerRef &Entry : {EntryA, EntryB}) {
    Keeper.onMessage(Entry, Message, Now);
    STRCMP_EQUAL("pool", Sink.Load.kind().pool().c_str());
  }
  Keeper.onMessage(EntryA, Message, Now);
  CHECK(!Sink.Load.has_kind());
  Message.mutable_lease_renewal()->set_asks_kind(true);
  Keeper.onMessage(EntryA, Message, Now);
  STRCMP_EQUAL("pool", Sink.Load.kind().pool().c_str());
}

// A worker returns under its id, with the same room, and announces itself only
// after it has answered.
TEST(WorkerKindTest, ControlIsToldAnotherKindUnderTheSameId) {
  WorkerProfile First = profile("w", "pool", "a");
  First.StartUnixMs = 1000;
  attachAs(First);
  AnnouncedWorker Before = AnnouncedWorker::of(Keeper);
  LONGS_EQUAL(1, Before.Labels.count("a"));

  WorkerProfile Next = profile("w", "other", "b");
  Next.StartUnixMs = 2000;
  Keeper.session().onHoldReply({"w", 1000}, replyOf(Next), Now);
  AnnouncedWorker Unannounced = AnnouncedWorker::of(Keeper);
  CHECK(!(Unannounced == Before));
  STRCMP_EQUAL("", Unannounced.Pool.c_str());
  CHECK(Unannounced.Labels.empty());
  Keeper.onMessage(EntryA, requiring("j", "pool", "a"), Now);
  LONGS_EQUAL(0, Port.Starts.size());

  Keeper.onProfile(Next, Now);
  AnnouncedWorker After = AnnouncedWorker::of(Keeper);
  CHECK(!(After == Unannounced));
  peer::Member Told;
  After.writeTo(Told);
  STRCMP_EQUAL("other", Told.pool().c_str());
  STRCMP_EQUAL("b", Told.labels(0).c_str());
}

TEST(WorkerKindTest, ALaterAnnouncementMayChangeTheKind) {
  attachAs(profile("w", "pool", "a"));
  AnnouncedWorker Before = AnnouncedWorker::of(Keeper);
  WorkerProfile Changed = profile("w", "pool", "b");
  Changed.Sequence = 2;
  Keeper.onProfile(Changed, Now);
  CHECK(!(AnnouncedWorker::of(Keeper) == Before));
  Keeper.onMessage(EntryA, requiring("j", "pool", "a"), Now);
  LONGS_EQUAL(0, Port.Starts.size());
}

// While calls do not tell incarnations apart, the next one may be of any kind.
TEST(WorkerKindTest, NothingIsStartedWhileTheWorkerMayHaveRestartedUnderItsId) {
  for (bool KeepsId : {false, true}) {
    LeaseKeeper Each{optionsWith(/*FromStamp=*/true), Sink, Port};
    Port.Starts.clear();
    WorkerProfile Present = profile("w", "pool", "a");
    if (KeepsId)
      Present.StartUnixMs = 1000;
    WorkerIncarnation Incarnation = Present.workerIncarnation();
    Each.onProfile(Present, Now);
    Each.session().onHoldReply(Incarnation, replyOf(Present), Now);
    Each.session().onHoldReply(Incarnation, WorkerReply(), Now);
    Each.onMessage(EntryA, requiring("j", "pool", "a"), Now);
    LONGS_EQUAL(KeepsId ? 0 : 1, Port.Starts.size());
    Each.session().onHoldReply(Incarnation, replyOf(Present), Now);
    Each.tick(Now);
    LONGS_EQUAL(1, Port.Starts.size());
  }
}
