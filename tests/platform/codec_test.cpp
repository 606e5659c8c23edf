#include "core/error.h"
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/node_settings.h"
#include "platform/worker_codec.h"

#include <functional>
#include <nlohmann/json.hpp>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace yardwheel::platform;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json jobBody() {
  return json::parse(R"({"spec":"text","bestEffort":true,
    "phases":[{"count":4,"cpu":500,"memMb":256,"estMs":900}]})");
}

json settingsBody() {
  return json::parse(R"({"nodeId":"n","serves":["front"],"ip":"10.1.0.13",
    "zone":"a","listen":{"front":"10.1.0.13:81","ready":"10.1.0.13:82",
    "control":"10.1.0.13:83"},"portRange":[7720,7735],
    "seeds":["10.1.0.17:8166"],"bootstrap":true,"dataDir":"/data",
    "faultTolerance":{"machines":2},
    "limits":{"memoryMb":260,"maxFds":4100},
    "bounds":{"retransmitMs":1300,"maxHoldMs":1000,"stopMs":50,"graceS":6,
    "configApplyMs":1900}})");
}

json configBody() {
  return json::parse(R"({"version":7,"routes":[{"name":"r","host":"h",
    "pathPrefix":"/p/","timeoutMs":1500,"sloMs":60,"priority":1,
    "service":"s","maxAttempts":2,"stretch":1.6}],
    "services":[{"name":"s","healthPath":"/health","maxConns":64,
    "admissionCheck":true}],"limits":{"maxHeaderBytes":16384}})");
}

json profileBody() {
  return json::parse(R"({"service":"s","address":"10.0.0.9:80","state":"ready",
    "capacity":{"cpu":16000,"memMb":32768,"gpus":0},"labels":["a","r1-3"],
    "clockMs":482113,"sequence":4})");
}

peer::Route routeOf() {
  peer::Route Route;
  Route.set_name("r");
  Route.set_pool("s");
  Route.set_stretch(1.6);
  Route.set_aim_ms(60);
  Route.set_max_attempts(2);
  return Route;
}

/// A change of one field, and the field that the error must name.
struct Mistake {
  const char *Pointer;
  json Value;
  const char *Field;
};

/// \returns the field and text of the decoding error; empty if there was none.
std::string complaint(const std::function<void()> &Decode) {
  try {
    Decode();
  } catch (const Error &Problem) {
    return Problem.peer() + " " + Problem.what();
  }
  return {};
}

void checkMistakes(const json &Good, const std::vector<Mistake> &Mistakes,
                   const std::function<void(const std::string &)> &Decode) {
  STRCMP_EQUAL("", complaint([&] { Decode(Good.dump()); }).c_str());
  for (const Mistake &Row : Mistakes) {
    json Bad = Good;
    json::json_pointer Where(Row.Pointer);
    if (Row.Value.is_discarded())
      Bad.at(Where.parent_pointer()).erase(Where.back());
    else
      Bad[Where] = Row.Value;
    std::string Found = complaint([&] { Decode(Bad.dump()); });
    STRCMP_CONTAINS_TEXT(Row.Field, Found.c_str(), Row.Pointer);
  }
  for (const char *Text : {"", "[]", "{", "7", "{\"a\":"})
    CHECK_FALSE_TEXT(complaint([&] { Decode(Text); }).empty(), Text);
}

const json Missing = json(json::value_t::discarded);

} // namespace

TEST_GROUP(CodecTest){};

TEST(CodecTest, AJobIsDecodedWhole) {
  DecodedJob Decoded =
      decodeJob(jobBody().dump(), "00000000000000aa", routeOf(), 3000ms);
  STRCMP_EQUAL("", Decoded.UnsupportedFeature.c_str());
  LONGS_EQUAL(4, Decoded.Request.TaskCount);
  LONGS_EQUAL(500, Decoded.Request.Needs.cpu_milli());
  LONGS_EQUAL(1500, Decoded.Request.Objective.count());
  LONGS_EQUAL(3000, Decoded.Request.Deadline.count());
}

TEST(CodecTest, AJobsMistakesAreNamed) {
  checkMistakes(jobBody(),
                {{"/spec", Missing, "spec"},
                 {"/spec", 7, "spec"},
                 {"/spec", std::string(4001, 'x'), "spec"},
                 {"/phases", Missing, "phases"},
                 {"/phases", json::array(), "phases"},
                 {"/phases", "x", "phases"},
                 {"/phases/0", 7, "phases[0]"},
                 {"/phases/0/count", Missing, "count"},
                 {"/phases/0/count", 0, "count"},
                 {"/phases/0/count", 1e9, "count"},
                 {"/phases/0/count", "4", "count"},
                 {"/phases/0/cpu", -1, "cpu"},
                 {"/phases/0/cpu", 18446744073709551615ULL, "cpu"},
                 {"/phases/0/estMs", 1.5, "estMs"},
                 {"/phases/0/memMb", true, "memMb"},
                 {"/bestEffort", 1, "bestEffort"}},
                [](const std::string &Body) {
                  decodeJob(Body, "00000000000000aa", routeOf(), 1500ms);
                });
}

TEST(CodecTest, UnsupportedFeaturesAreNamed) {
  struct Row {
    const char *Pointer;
    json Value;
    const char *Feature;
  };
  const Row Rows[] = {
      {"/bestEffort", false, "stored jobs"},
      {"/repeats", 3, "repeats"},
      {"/longRunning", true, "longRunning"},
      {"/phases/1", json::parse(R"({"count":1})"), "several phases"},
      {"/phases/0/gang", true, "gang"},
      {"/phases/0/sameRack", true, "sameRack"},
      {"/phases/0/speculative", true, "speculative"},
      {"/phases/0/savesProgress", true, "savesProgress"},
      {"/phases/0/image", "i", "image"},
      {"/phases/0/fills", true, "fills"},
      {"/phases/0/gang", false, ""},
  };
  for (const Row &Row : Rows) {
    json Body = jobBody();
    Body[json::json_pointer(Row.Pointer)] = Row.Value;
    DecodedJob Decoded =
        decodeJob(Body.dump(), "00000000000000aa", routeOf(), 1500ms);
    STRCMP_EQUAL(Row.Feature, Decoded.UnsupportedFeature.c_str());
  }
}

TEST(CodecTest, JobIdsAndDeadlinesAreChecked) {
  CHECK(isJobId("5c0e7a21d94b36f8"));
  for (const char *Bad : {"", "5c0e7a21d94b36f", "5c0e7a21d94b36f8a",
                          "5c0e7a21d94b36fz", "../../../../etc/x"})
    CHECK_FALSE_TEXT(isJobId(Bad), Bad);
  LONGS_EQUAL(250, decodeDeadline("250", 9ms).count());
  LONGS_EQUAL(9, decodeDeadline("", 9ms).count());
  for (const char *Bad : {"0", "-4", "x", "12x", "99999999999999999999"})
    CHECK_FALSE_TEXT(complaint([&] { decodeDeadline(Bad, 9ms); }).empty(), Bad);
}

TEST(CodecTest, SettingsMistakesAreNamed) {
  checkMistakes(settingsBody(),
                {{"/nodeId", Missing, "nodeId"},
                 {"/nodeId", 7, "nodeId"},
                 {"/serves", Missing, "serves"},
                 {"/serves", json::array({"other"}), "serves"},
                 {"/ip", "nowhere", "ip"},
                 {"/zone", Missing, "zone"},
                 {"/listen", Missing, "listen"},
                 {"/listen/front", Missing, "listen.front"},
                 {"/listen/ready", "10.1.0.13", "listen.ready"},
                 {"/portRange", json::array({1}), "portRange"},
                 {"/portRange", json::array({7720, 99999}), "portRange"},
                 {"/portRange", json::array({7721, 7720}), "portRange"},
                 {"/seeds", json::array(), "seeds"},
                 {"/seeds", json::array({"x"}), "seeds"},
                 {"/bootstrap", "yes", "bootstrap"},
                 {"/bounds/stopMs", -1, "bounds.stopMs"},
                 {"/bounds/graceS", "6", "bounds.graceS"},
                 {"/bounds/configApplyMs", "x", "bounds.configApplyMs"},
                 {"/bounds/remoteFactor", 0.9, "bounds.remoteFactor"},
                 {"/bounds/remoteFactor", "2", "bounds.remoteFactor"},
                 {"/limits/memoryMb", 0, "limits.memoryMb"},
                 {"/limits/maxFds", "x", "limits.maxFds"},
                 {"/faultTolerance/machines", -1, "faultTolerance.machines"}},
                [](const std::string &Body) { parseNodeSettings(Body); });
}

TEST(CodecTest, TheFactorAwayFromARackIsTheStatedOne) {
  struct Row {
    const char *Name;
    json Bounds;
    double Factor;
  };
  const Row Rows[] = {{"not stated", json::object(), 1.5},
                      {"no difference", {{"remoteFactor", 1}}, 1},
                      {"stated", {{"remoteFactor", 2.5}}, 2.5}};
  for (const Row &Row : Rows) {
    json Body = settingsBody();
    Body["bounds"] = Row.Bounds;
    DOUBLES_EQUAL_TEXT(Row.Factor, parseNodeSettings(Body.dump()).OffRackFactor,
                       1e-9, Row.Name);
  }
  json Body = settingsBody();
  Body.erase("bounds");
  DOUBLES_EQUAL(1.5, parseNodeSettings(Body.dump()).OffRackFactor, 1e-9);
}

TEST(CodecTest, SettingsAreDecodedWhole) {
  json Body = settingsBody();
  Body["serves"] = {"control"};
  Body["unknown"] = {{"a", 1}};
  NodePlan Plan = parseNodeSettings(Body.dump());
  CHECK(Plan.Role == NodeRole::Control);
  STRCMP_EQUAL("10.1.0.13:7720", Plan.LinkListen.c_str());
  STRCMP_EQUAL("10.1.0.17:7720", Plan.Seeds[0].Address.c_str());
  STRCMP_EQUAL("10.1.0.17:8166", Plan.Seeds[0].HttpAddress.c_str());
  LONGS_EQUAL(2, Plan.ToleratedLosses);
  LONGS_EQUAL(6000, Plan.Times.ShutdownGrace.count());
  LONGS_EQUAL(1900, Plan.Times.MaxConfigDelay.count());
  CHECK(Plan.Limits.MemoryBytes == std::size_t{260} << 20);
  LONGS_EQUAL(4100, Plan.Limits.MaxDescriptors);
  Body.erase("limits");
  CHECK(parseNodeSettings(Body.dump()).Limits.MemoryBytes ==
        DefaultMemoryLimit);
  Body.erase("dataDir");
  STRCMP_CONTAINS("dataDir",
                  complaint([&] { parseNodeSettings(Body.dump()); }).c_str());
}

TEST(CodecTest, ConfigurationMistakesAreNamed) {
  checkMistakes(
      configBody(),
      {{"/version", Missing, "version"},
       {"/version", 0, "version"},
       {"/version", -3, "version"},
       {"/version", "7", "version"},
       {"/routes", Missing, "routes"},
       {"/routes/0/name", Missing, "routes[0].name"},
       {"/routes/0/host", 3, "routes[0].host"},
       {"/routes/0/pathPrefix", Missing, "routes[0].pathPrefix"},
       {"/routes/0/service", "t", "pool 't'"},
       {"/routes/0/timeoutMs", 0, "timeout"},
       {"/routes/0/timeoutMs", Missing, "routes[0].timeoutMs"},
       {"/routes/0/stretch", "x", "routes[0].stretch"},
       {"/version", 1.5, "version"},
       {"/version", 18446744073709551615ULL, "version"},
       {"/routes/0", 7, "routes[0]"},
       {"/routes/0", nullptr, "routes[0]"},
       {"/routes/0/priority", -1, "routes[0].priority"},
       {"/routes/0/maxAttempts", "2", "routes[0].maxAttempts"},
       {"/services/0", json::array(), "services[0]"},
       {"/services/0/admissionCheck", 1, "services[0].admissionCheck"},
       {"/services/0/maxConns", 0.5, "services[0].maxConns"},
       {"/limits/maxHeaderBytes", "x", "limits.maxHeaderBytes"},
       {"/services", 1, "services"},
       {"/services/0/name", Missing, "services[0].name"},
       {"/limits", 4, "limits"}},
      [](const std::string &Body) { decodeConfig(Body); });
}

// A configuration is serialized by recursion, which uses stack for each level.
TEST(CodecTest, AConfigurationNestedTooDeeplyIsRefused) {
  std::string Good = configBody().dump();
  Good.pop_back();
  auto Nested = [&](std::size_t Depth) {
    return Good + R"(,"x":)" + std::string(Depth, '[') +
           std::string(Depth, ']') + "}";
  };
  STRCMP_EQUAL("", complaint([&] { decodeConfig(Nested(8)); }).c_str());
  STRCMP_CONTAINS("levels",
                  complaint([&] { decodeConfig(Nested(100)); }).c_str());
  STRCMP_CONTAINS("levels",
                  complaint([&] { decodeConfig(Nested(500000)); }).c_str());
  // Brackets in a string do not count as levels.
  std::string Text = Good + R"(,"x":"\"[)" + std::string(100, '[') + "\"}";
  STRCMP_EQUAL("", complaint([&] { decodeConfig(Text); }).c_str());
}

TEST(CodecTest, EqualConfigurationsHaveEqualDocuments) {
  json Other = json::parse(
      R"({"services":[],"routes":[],"limits":{"b":1,"a":2},"version":3})");
  peer::RouteTable One = decodeConfig(Other.dump());
  peer::RouteTable Two = decodeConfig(
      R"( {"version" : 3, "limits":{"a":2, "b":1}, "routes":[],"services":[]})");
  STRCMP_EQUAL(One.document().c_str(), Two.document().c_str());
}

TEST(CodecTest, ProfileMistakesAreNamed) {
  checkMistakes(profileBody(),
                {{"/address", Missing, "address"},
                 {"/service", 4, "service"},
                 {"/state", Missing, "state"},
                 {"/capacity", "x", "capacity"},
                 {"/capacity/cpu", -1, "capacity.cpu"},
                 {"/labels", json::array({4}), "labels"},
                 {"/clockMs", "x", "clockMs"}},
                [](const std::string &Body) { decodeProfile(Body, "i-1"); });
  WorkerProfile Profile = decodeProfile(profileBody().dump(), "i-1");
  LONGS_EQUAL(16000, Profile.Room.cpu_milli());
  CHECK(Profile.Labels.contains("r1-3"));
  CHECK_FALSE(Profile.Draining);
}

TEST(CodecTest, WorkerRepliesAreDecoded) {
  struct Row {
    long Status;
    const char *Body;
    WorkerRefusal Expected;
  };
  const Row Rows[] = {
      {200, R"({"clockMs":5})", WorkerRefusal::None},
      {409, R"({"clockMs":5,"reason":"fence"})", WorkerRefusal::Fenced},
      {409, R"({"clockMs":5,"reason":"old"})", WorkerRefusal::StaleRun},
      {409, R"({"clockMs":5,"reason":"late"})", WorkerRefusal::LeaseExpired},
      {409, R"({"clockMs":5,"reason":"room"})", WorkerRefusal::NoRoom},
      {409, R"({"reason":"new"})", WorkerRefusal::Malformed},
      {400, "", WorkerRefusal::Malformed},
      {421, "", WorkerRefusal::OtherIncarnation},
      {429, "", WorkerRefusal::Unhealthy},
      {503, "", WorkerRefusal::Unhealthy},
  };
  for (const Row &Row : Rows)
    CHECK(decodeReply(Row.Status, Row.Body).Refusal == Row.Expected);
  for (const char *Bad :
       {"", "x", R"({"clockMs":-1})", R"({"running":7})", R"({"ended":{}})",
        R"({"born":"x"})", R"({"born":-1})", R"({"born":1.5})",
        R"({"born":null})", R"({"born":true})", R"({"born":[1]})",
        R"({"born":1180591620717411303424})"})
    CHECK_FALSE_TEXT(complaint([&] { decodeReply(200, Bad); }).empty(), Bad);
  // A row that cannot be decoded is counted and not returned.
  for (const char *Bad :
       {R"({"running":[[1,2,"",0]]})", R"({"ended":[[1,"a",2,"done"]]})",
        R"({"ended":[["1","a",2,"done",""]]})"}) {
    WorkerReply Reply = decodeReply(200, Bad);
    LONGS_EQUAL_TEXT(1, Reply.UnreadableRows, Bad);
    CHECK_TEXT(Reply.Running.empty() && Reply.Ended.empty(), Bad);
  }
}

// A start that was answered with 500, 502 or 504 was assumed not to have run,
// and its task was started at another upstream as well. Such an answer may come
// from a proxy or from an upstream that failed midway, and does not prove that
// nothing was done. Only the statuses that the protocol names prove it.
TEST(CodecTest, AnUnspecifiedStatusProvesNothing) {
  for (long Status :
       {0L, 204L, 302L, 404L, 408L, 413L, 500L, 502L, 504L, 599L}) {
    std::string Name = "status " + std::to_string(Status);
    WorkerReply Reply = decodeReply(Status, R"({"clockMs":5})");
    CHECK_FALSE_TEXT(Reply.Answered, Name.c_str());
    STRCMP_EQUAL(Name.c_str(), Reply.Problem.c_str());
  }
}

TEST(CodecTest, TaskNamesRoundTrip) {
  RunKey Run{"5c0e7a21d94b36f8", 17, 2};
  STRCMP_EQUAL("5c0e7a21d94b36f8.0.0.17", taskName(Run).c_str());
  CHECK(parseTaskName(taskName(Run), 2) == Run);
  for (const char *Strange : {"", "a", "a.0.0", "a.1.0.3", "a.0.1.3", "a.0.0.x",
                              "a.0.0.1.2", "a.0.0.99999999999"})
    CHECK_FALSE_TEXT(parseTaskName(Strange, 1).has_value(), Strange);
  WorkerReply Reply = decodeReply(
      200,
      R"({"clockMs":1,"born":1800000000123,"running":[["5c0e7a21d94b36f8.0.0.17",2,"",41],
      ["x.1.1.1",4,"",0]],"ended":[[58,"5c0e7a21d94b36f8.0.0.9",1,"done",""]]})");
  CHECK(Reply.StartUnixMs == 1800000000123U);
  CHECK(Reply.Running[0] == Run);
  STRCMP_EQUAL("x.1.1.1", taskName(Reply.Running[1]).c_str());
  LONGS_EQUAL(58, Reply.Ended[0].Number);
  CHECK(Reply.Ended[0].Outcome == RunOutcome::Done);
}
