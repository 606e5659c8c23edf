//===- Runs and workers on the platform -----------------------------------===//

#include "tests/system/platform_cluster.h"

#include <fmt/format.h>
#include <future>
#include <thread>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_GROUP(PlatformRunsTest){};

// A caller resubmits a job at another entry 1,300 ms after its entry was
// killed. By then no run of the first submission may be alive.
TEST(PlatformRunsTest, RunsOfAKilledEntryEndBeforeResubmission) {
  PlatformCluster Cluster;
  Cluster.startAll();
  auto First = std::async(std::launch::async, [&] {
    return Cluster.submit(1, "00000000000000c1", TasksForBothWorkers, 2500)
        .Status;
  });
  CHECK(
      waitFor([&] { return Cluster.Recorder.alive() == TasksForBothWorkers; }));
  Cluster.kill("front1");
  LONGS_EQUAL(0, First.get());
  std::this_thread::sleep_for(1300ms);
  LONGS_EQUAL(0, Cluster.Recorder.alive());
  LONGS_EQUAL(
      200,
      Cluster.submit(2, "00000000000000c1", TasksForBothWorkers, 50).Status);
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
}

TEST(PlatformRunsTest, RunsOfAKilledAgentExpireAndItsSuccessorRaisesTheToken) {
  PlatformCluster Cluster;
  Cluster.startAll();
  auto First = std::async(std::launch::async, [&] {
    return Cluster.submit(1, "00000000000000d1", TasksForBothWorkers, 2500)
        .Status;
  });
  CHECK(
      waitFor([&] { return Cluster.Recorder.alive() == TasksForBothWorkers; }));
  std::uint64_t Token = Cluster.Workers[1]->highestToken();
  Cluster.kill("side1");
  // The entry no longer knows the outcome of its runs there and reports that at
  // once.
  LONGS_EQUAL(504, First.get());
  std::this_thread::sleep_for(1300ms);
  LONGS_EQUAL(0, Cluster.Recorder.alive());
  Cluster.start("side1", 11, "side");
  CHECK(waitFor([&] { return Cluster.Workers[1]->highestToken() > Token; }));
  LONGS_EQUAL(
      200,
      Cluster.submit(1, "00000000000000d1", TasksForBothWorkers, 50).Status);
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
}

TEST(PlatformRunsTest, DelayedStartsStartNoTaskTwice) {
  PlatformCluster Cluster;
  Cluster.startAll();
  Cluster.Workers[1]->delayStarts(600ms);
  int Served = 0;
  for (int I = 0; I < 4; ++I) {
    std::string Id = fmt::format("{:016x}", 0xe00 + I);
    if (Cluster.submit(1, Id, TasksForBothWorkers, 300).Status == 200)
      ++Served;
  }
  std::this_thread::sleep_for(1s);
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
  LONGS_EQUAL(4, Served);
}

// A restarted worker has lost its state and numbers its ends from 1 again. When
// the agent took it for the previous incarnation, jobs remained without an
// answer until their deadline.
TEST(PlatformRunsTest, RestartedWorkerWithTheSameIdServesAgain) {
  struct Row {
    const char *Name;
    int Restarts;
    std::chrono::milliseconds Down;
    bool UnderAJob;
  };
  const Row Rows[] = {
      {"once", 1, 300ms, false},
      {"before anybody has missed it", 1, 5ms, false},
      {"under a job", 1, 300ms, true},
      {"under a job, at once", 1, 5ms, true},
      {"five in a row", 5, 100ms, true},
  };
  PlatformCluster Cluster;
  Cluster.startAll();
  int Job = 0xb00;
  auto Submit = [&](int Millis) {
    return Cluster
        .submit(1, fmt::format("{:016x}", ++Job), TasksForBothWorkers, Millis)
        .Status;
  };
  for (const Row &Row : Rows) {
    // Ends are acknowledged up to a number that the next incarnation has not
    // reached.
    CHECK_TEXT(waitFor([&] { return Cluster.usesBothWorkers(1); }), Row.Name);
    std::future<long> Under;
    auto Begun = std::chrono::steady_clock::now();
    if (Row.UnderAJob) {
      Under = std::async(std::launch::async, Submit, 800);
      CHECK(waitFor(
          [&] { return Cluster.Recorder.alive() == TasksForBothWorkers; }));
    }
    for (int I = 0; I < Row.Restarts; ++I) {
      for (auto &[Side, Worker] : Cluster.Workers)
        Worker->restart(Row.Down);
      std::this_thread::sleep_for(Row.Down + 50ms);
    }
    if (Row.UnderAJob) {
      long Status = Under.get();
      CHECK_TEXT(Status == 200 || Status == 504, Row.Name);
      auto Took = std::chrono::steady_clock::now() - Begun;
      CHECK_TEXT(Took < Cluster.RouteTimeout - 200ms, Row.Name);
    }
    // Callers that retry are served within a heartbeat of a worker.
    CHECK_TEXT(waitFor([&] { return Submit(50) == 200; }), Row.Name);
    LONGS_EQUAL_TEXT(0, Cluster.Recorder.overlaps(), Row.Name);
  }
}

// Open connections may stop carrying data without a reset while new ones work.
TEST(PlatformRunsTest, SilentConnectionsToWorkersAreReplaced) {
  PlatformCluster Cluster;
  Cluster.ProxyWorkers = true;
  Cluster.startAll();
  for (int Round = 0; Round < 3; ++Round) {
    LONGS_EQUAL(200, Cluster
                         .submit(1, fmt::format("{:016x}", 0x500 + Round),
                                 TasksForBothWorkers, 50)
                         .Status);
    for (auto &[Side, Proxy] : Cluster.Proxies)
      Proxy->silence();
  }
  // Runs in progress also survive: their lease is renewed on another
  // connection.
  auto Long = std::async(std::launch::async, [&] {
    return Cluster.submit(1, "0000000000000600", TasksForBothWorkers, 1500)
        .Status;
  });
  CHECK(
      waitFor([&] { return Cluster.Recorder.alive() == TasksForBothWorkers; }));
  for (auto &[Side, Proxy] : Cluster.Proxies)
    Proxy->silence();
  LONGS_EQUAL(200, Long.get());
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
}

// An announcement may be delayed until after its sender has restarted.
TEST(PlatformRunsTest, LateAnnouncementOfAnOldIncarnationChangesNothing) {
  PlatformCluster Cluster;
  Cluster.startAll();
  auto Running = std::async(std::launch::async, [&] {
    return Cluster.submit(1, "0000000000000700", TasksForBothWorkers, 1000)
        .Status;
  });
  CHECK(
      waitFor([&] { return Cluster.Recorder.alive() == TasksForBothWorkers; }));
  int Starts = Cluster.Recorder.starts();
  for (int Side : {1, 2})
    LONGS_EQUAL(200, Cluster.announceOldIncarnation(Side));
  LONGS_EQUAL(200, Running.get());
  LONGS_EQUAL(Starts, Cluster.Recorder.starts());
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
}

// Invalid announcements with the id of the present worker, with an unknown id,
// and at an agent that has no worker yet.
TEST(PlatformRunsTest, InvalidAnnouncementsAttachNoWorker) {
  PlatformCluster Cluster;
  Cluster.startAll();
  json Warming = Cluster.announcement(1);
  Warming["state"] = "warming";
  json NoAddress = Cluster.announcement(1);
  NoAddress["address"] = "nowhere";
  json NoRoom = Cluster.announcement(1);
  NoRoom.erase("capacity");
  std::string Whole = Cluster.announcement(1).dump();
  const std::pair<const char *, std::string> Rows[] = {
      {"no JSON", "ready"},
      {"truncated", Whole.substr(0, Whole.size() / 2)},
      {"not UTF-8", "{\"service\":\"\xff\xfe\"}"},
      {"an array", "[" + Whole + "]"},
      {"deeply nested", std::string(200000, '[')},
      {"an unknown state", Warming.dump()},
      {"a name for an address", NoAddress.dump()},
      {"no capacity", NoRoom.dump()},
  };
  Cluster.start("side3", 13, "side");
  CHECK(waitFor([&] {
    return Cluster.log("side3").find("\"started\"") != std::string::npos;
  }));
  unsigned Job = 0x800;
  for (const auto &[Name, Body] : Rows) {
    for (int Side : {1, 2, 3})
      for (const std::string &Id :
           {fmt::format("i-{}", Side), std::string("i-other")})
        LONGS_EQUAL_TEXT(400, Cluster.announce(Side, Id, Body), Name);
    LONGS_EQUAL_TEXT(
        200,
        Cluster
            .submit(1, fmt::format("{:016x}", ++Job), TasksForBothWorkers, 20)
            .Status,
        Name);
  }
  LONGS_EQUAL(0, Cluster.count("side3", "worker_attached"));
  for (const char *Side : {"side1", "side2"})
    LONGS_EQUAL(1, Cluster.count(Side, "worker_attached"));
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
}

TEST(PlatformRunsTest, WorkerOfAPoolWithoutARouteIsNotUsed) {
  PlatformCluster Cluster;
  Cluster.startAll();
  Cluster.start("side3", 13, "side");
  Cluster.addWorker(3, "elsewhere");
  CHECK(waitFor([&] { return Cluster.count("side3", "worker_ready") == 1; }));
  for (int Front : {1, 2})
    CHECK(waitFor([&] {
      return Cluster.log(fmt::format("front{}", Front)).find("side3") !=
             std::string::npos;
    }));
  unsigned Job = 0x900;
  for (int Front : {1, 2}) {
    LONGS_EQUAL(200, Cluster
                         .submit(Front, fmt::format("{:016x}", ++Job),
                                 TasksForBothWorkers, 20)
                         .Status);
  }
  LONGS_EQUAL(0, Cluster.Workers[3]->starts());
  LONGS_EQUAL(200, Cluster.replace(2));
}
