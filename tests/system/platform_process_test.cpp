//===- Shutdown, disk loss and settings on the platform -------------------===//

#include "tests/system/platform_cluster.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <future>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_GROUP(PlatformProcessTest){};

TEST(PlatformProcessTest, DrainingEntryAnswersAcceptedJobs) {
  PlatformCluster Cluster;
  Cluster.startAll();
  constexpr int CallCount = 6;
  std::vector<std::future<long>> Calls;
  Calls.reserve(CallCount);
  for (int I = 0; I < CallCount; ++I)
    Calls.push_back(std::async(std::launch::async, [&Cluster, I] {
      return Cluster.submit(1, fmt::format("{:016x}", 0xab0 + I), 1, 1200)
          .Status;
    }));
  CHECK(waitFor([&] { return Cluster.Recorder.alive() == CallCount; }));
  Cluster.signal("front1", SIGTERM);
  // The entry accepts jobs while the load balancer still sends callers there.
  LONGS_EQUAL(200, Cluster.submit(1, "00000000000000ac", 1, 20).Status);
  for (std::future<long> &Call : Calls)
    LONGS_EQUAL(200, Call.get());
  LONGS_EQUAL(0, Cluster.wait("front1"));
  STRCMP_CONTAINS("\"decision\":\"stopped\"", Cluster.log("front1").c_str());
}

// Jobs that cannot complete in time are cancelled, and their callers receive a
// response.
TEST(PlatformProcessTest, DrainingEntryAnswersJobsThatOutlastIt) {
  PlatformCluster Cluster;
  Cluster.RouteTimeout = 20s;
  Cluster.startAll();
  std::future<long> Call = std::async(std::launch::async, [&Cluster] {
    return Cluster.submit(1, "00000000000000ad", 1, 20000).Status;
  });
  CHECK(waitFor([&] { return Cluster.Recorder.alive() == 1; }));
  Cluster.signal("front1", SIGTERM);
  LONGS_EQUAL(504, Call.get());
  LONGS_EQUAL(0, Cluster.wait("front1"));
  STRCMP_CONTAINS("this process ends", Cluster.log("front1").c_str());
  CHECK(waitFor([&] { return Cluster.Recorder.alive() == 0; }));
}

// Callers send requests until the entry has stopped. Each request that it has
// read must be answered.
TEST(PlatformProcessTest, AnEntryThatEndsCutsNoRequestThatItHasRead) {
  PlatformCluster Cluster;
  Cluster.startAll();
  std::atomic<int> Cut{0};
  std::atomic<int> Answered{0};
  std::atomic<bool> Over{false};
  constexpr int CallerCount = 4;
  std::vector<std::future<void>> Callers;
  Callers.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Callers.push_back(std::async(std::launch::async, [&, Caller] {
      for (int I = 0; !Over.load(); ++I) {
        std::string Id = fmt::format("{:016x}", 0x10000 * (Caller + 1) + I);
        auto Sent = std::chrono::steady_clock::now();
        HttpResult Result = Cluster.submit(1, Id, 1, 150);
        // A request whose connection closes sooner was not read.
        bool Taken = std::chrono::steady_clock::now() - Sent > 100ms;
        if (Result.Status != 0)
          ++Answered;
        else if (Taken)
          ++Cut;
      }
    }));
  Cluster.signal("front1", SIGTERM);
  LONGS_EQUAL(0, Cluster.wait("front1"));
  Over.store(true);
  for (std::future<void> &Caller : Callers)
    Caller.get();
  CHECK(Answered.load() > 50);
  LONGS_EQUAL(0, Cut.load());
}

TEST(PlatformProcessTest, ReplicaWithLostDiskIsReplacedAutomatically) {
  PlatformCluster Cluster;
  Cluster.startAll();
  std::uint64_t Version = 100;
  for (int Replica : {1, 2, 3}) {
    std::string Name = fmt::format("core{}", Replica);
    CHECK(waitFor([&] { return Cluster.replace(++Version) == 200; }));
    Cluster.kill(Name);
    std::filesystem::remove_all(
        fmt::format("{}/data-{}", Cluster.folder(), Name));
    Cluster.start(Name, 20 + Replica, "control");
    // The replica has the configuration once it has become a voter.
    CHECK(waitFor([&] {
      HttpClient Client(2s);
      std::string Text = Client
                             .call("GET", fmt::format("http://{}:9464/metrics",
                                                      Cluster.ip(20 + Replica)))
                             .Body;
      return Text.find(fmt::format("yardwheel_route_table_version {}",
                                   Version)) != std::string::npos &&
             Text.find("yardwheel_control_replicas 3") != std::string::npos;
    }));
  }
  HttpResult Read;
  CHECK(waitFor([&] {
    Read = Cluster.operatorCall(22, "GET", "/config/read");
    return Read.Status == 200;
  }));
  LONGS_EQUAL(Version, json::parse(Read.Body)["version"].get<std::uint64_t>());
}

// The settings file may change with or without a signal.
TEST(PlatformProcessTest, EveryRoleReloadsChangedSettings) {
  struct Row {
    const char *Name;
    int Host;
    const char *Serves;
  };
  const Row Rows[] = {
      {"core1", 21, "control"}, {"front1", 1, "front"}, {"side1", 11, "side"}};
  PlatformCluster Cluster;
  for (const Row &Row : Rows) {
    Cluster.start(Row.Name, Row.Host, Row.Serves);
    CHECK(waitFor([&] {
      return Cluster.log(Row.Name).find("\"started\"") != std::string::npos;
    }));
    STRCMP_EQUAL("", Cluster.reloads(Row.Name).c_str());
    json Body = Cluster.settings(Row.Name, Row.Host, Row.Serves);
    Body["seeds"] = {Cluster.at(24, 3)};
    Cluster.rewrite(Row.Name, Body.dump());
    CHECK(waitFor([&] { return !Cluster.reloads(Row.Name).empty(); }));
    // An unreadable file leaves the settings unchanged.
    Cluster.rewrite(Row.Name, "{");
    CHECK(waitFor([&] {
      return Cluster.log(Row.Name).find("not taken over") != std::string::npos;
    }));
    Cluster.signal(Row.Name, SIGTERM);
    LONGS_EQUAL(0, Cluster.wait(Row.Name));
  }
}

TEST(PlatformProcessTest, InvalidSettingsAreReportedInOneLine) {
  PlatformCluster Cluster;
  json Good = Cluster.settings("x", 30, "front");
  struct Row {
    const char *Field;
    json Value;
  };
  const Row Rows[] = {{"nodeId", 7},
                      {"serves", json::array()},
                      {"seeds", "x"},
                      {"portRange", {1}}};
  for (const Row &Row : Rows) {
    json Bad = Good;
    Bad[Row.Field] = Row.Value;
    std::string Name = std::string("bad-") + Row.Field;
    Cluster.launch(Name, Bad.dump());
    LONGS_EQUAL(2, Cluster.wait(Name));
    std::string Output = Cluster.log(Name);
    STRCMP_CONTAINS(Row.Field, Output.c_str());
    STRCMP_CONTAINS("expected", Output.c_str());
    LONGS_EQUAL(1, std::count(Output.begin(), Output.end(), '\n'));
  }
}
