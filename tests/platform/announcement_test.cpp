//===- Malformed announcements of workers ---------------------------------===//

#include "platform/announcement_handler.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace yardwheel::platform;
using nlohmann::json;

namespace {

class RecordingTarget final : public WorkerAnnouncements {
public:
  void onAnnounced(const WorkerProfile &Profile) override {
    this->Profiles.push_back(Profile);
  }
  void onDeregistered(const WorkerIncarnation &Incarnation) override {
    this->Left.push_back(Incarnation);
  }

  std::vector<WorkerProfile> Profiles;
  std::vector<WorkerIncarnation> Left;
};

class RecordingReply final : public HttpReply {
public:
  void send(const HttpAnswer &Answer) override {
    this->Answers.push_back(Answer);
  }

  std::vector<HttpAnswer> Answers;
};

json announcement() {
  return json::parse(R"({"service":"s","address":"10.0.0.9:8080","zone":"a",
    "version":"v1","slots":8,"state":"ready","coldLeftMs":0,
    "capacity":{"cpu":16000,"memMb":32768,"gpus":0},"labels":["a","r1-3"],
    "clockMs":482113,"sequence":4})");
}

/// A change of one field of a valid announcement.
struct Change {
  const char *Pointer;
  json Value;
};

std::string changed(const Change &Row) {
  json Body = announcement();
  json::json_pointer Where(Row.Pointer);
  if (Row.Value.is_discarded())
    Body.at(Where.parent_pointer()).erase(Where.back());
  else
    Body[Where] = Row.Value;
  return Body.dump();
}

std::string nested(std::size_t Depth) {
  std::string Body = announcement().dump();
  Body.pop_back();
  return Body + R"(,"x":)" + std::string(Depth, '[') + std::string(Depth, ']') +
         "}";
}

const json Missing = json(json::value_t::discarded);

} // namespace

TEST_GROUP(AnnouncementTest) {
  RecordingTarget Target;
  AnnouncementHandler Gate{Target};

  HttpStatus call(const std::string &Body, const std::string &Id = "i-7f3a91c2",
                  const char *Verb = "heartbeat") {
    HttpRequest Request;
    Request.Method = HttpMethod::Post;
    Request.Path = {"instances", Id, Verb};
    Request.Body = Body;
    auto Reply = std::make_shared<RecordingReply>();
    Gate.handle(Request, Reply);
    LONGS_EQUAL(1, Reply->Answers.size());
    return Reply->Answers[0].Status;
  }
  /// Checks that the announcement is refused and not passed on, and that the
  /// next valid one is accepted.
  void checkRefused(const std::string &Body, const char *Name,
                    const std::string &Id = "i-7f3a91c2") {
    std::size_t Before = Target.Profiles.size();
    CHECK_TEXT(call(Body, Id) == HttpStatus::BadRequest, Name);
    LONGS_EQUAL_TEXT(Before, Target.Profiles.size(), Name);
    CHECK_TEXT(call(announcement().dump()) == HttpStatus::Ok, Name);
    LONGS_EQUAL_TEXT(Before + 1, Target.Profiles.size(), Name);
  }
};

TEST(AnnouncementTest, MalformedAnnouncementsAreRefused) {
  std::string Good = announcement().dump();
  std::string Nul = Good;
  Nul[Nul.find("ready")] = '\0';
  std::string WrongBytes = Good;
  WrongBytes[WrongBytes.find("ready")] = '\xff';
  const std::pair<const char *, std::string> Rows[] = {
      {"empty", ""},
      {"no JSON", "ready"},
      {"binary", std::string("\x00\x01\xfe\xff", 4)},
      {"truncated", Good.substr(0, Good.size() / 2)},
      {"without its last brace", Good.substr(0, Good.size() - 1)},
      {"followed by more", Good + Good},
      {"a nul byte", Nul},
      {"not UTF-8", WrongBytes},
      {"an array", "[" + Good + "]"},
      {"a string", json(Good).dump()},
      {"null", "null"},
      {"an empty object", "{}"},
      {"deeply nested", nested(100000)},
  };
  for (const auto &[Name, Body] : Rows)
    checkRefused(Body, Name);
}

TEST(AnnouncementTest, OneInvalidFieldRefusesTheAnnouncement) {
  const Change Rows[] = {
      {"/service", Missing},
      {"/service", nullptr},
      {"/service", 4},
      {"/service", ""},
      {"/service", std::string(1025, 's')},
      {"/address", Missing},
      {"/address", nullptr},
      {"/address", 4},
      {"/address", ""},
      {"/address", "10.0.0.9"},
      {"/address", "worker:8080"},
      {"/address", "10.0.0.9:0"},
      {"/address", "10.0.0.9:65536"},
      {"/address", "10.0.0.9:80x"},
      {"/address", "10.0.0.9:8080/x"},
      {"/address", "a@10.0.0.9:8080"},
      {"/address", std::string("10.0.0.9:80\0", 12)},
      {"/address", std::string("10.0.0.9\0:80", 12)},
      {"/state", Missing},
      {"/state", nullptr},
      {"/state", true},
      {"/capacity", Missing},
      {"/capacity", nullptr},
      {"/capacity", "x"},
      {"/capacity", json::array({16000, 32768, 0})},
      {"/capacity", json::object()},
      {"/capacity/cpu", Missing},
      {"/capacity/cpu", nullptr},
      {"/capacity/cpu", "16000"},
      {"/capacity/cpu", -1},
      {"/capacity/cpu", 1.5},
      {"/capacity/cpu", 18446744073709551615ULL},
      {"/capacity/memMb", Missing},
      {"/capacity/memMb", 1e300},
      {"/capacity/gpus", Missing},
      {"/capacity/gpus", true},
      {"/labels", Missing},
      {"/labels", "a"},
      {"/labels", json::array({"a", 4})},
      {"/labels", json::object()},
      {"/clockMs", "x"},
      {"/clockMs", -1},
      {"/clockMs", 0.5},
      {"/clockMs", 18446744073709551615ULL},
      {"/sequence", Missing},
      {"/sequence", nullptr},
      {"/sequence", "4"},
      {"/sequence", -4},
      {"/sequence", 4.5},
      {"/sequence", 18446744073709551615ULL},
      {"/born", nullptr},
      {"/born", "1800000000000"},
      {"/born", -1},
      {"/born", 1.5},
      {"/born", true},
      {"/born", json::array({1})},
      {"/born", json::object()},
      {"/born", 1180591620717411303424.0},
      {"/born", 18446744073709551615ULL},
      {"/zone", 7},
      {"/version", json::array()},
      {"/slots", "8"},
      {"/slots", -1},
      {"/coldLeftMs", "0"},
      {"/remainingMs", "soon"},
  };
  for (const Change &Row : Rows)
    checkRefused(
        changed(Row),
        (Row.Pointer + (" " + Row.Value.dump().substr(0, 40))).c_str());
}

TEST(AnnouncementTest, UnknownStatesAreRefused) {
  for (const char *State : {"warming", "", "Ready", "draining ", "drained"})
    checkRefused(changed({"/state", State}), State);
}

// The id is sent in a header of each call, which a line break would split.
TEST(AnnouncementTest, IdsWithUnsafeCharactersAreRefused) {
  const std::pair<const char *, std::string> Rows[] = {
      {"a line break", "i-1\r\nX-Other: 1"},
      {"a nul byte", std::string("i\0", 2)},
      {"a space", "i 1"},
      {"not UTF-8", "i-\xff"},
      {"a slash", "i/1"},
      {"too long", std::string(257, 'i')},
      {"empty", ""},
  };
  for (const auto &[Name, Id] : Rows) {
    checkRefused(announcement().dump(), Name, Id);
    CHECK_TEXT(call("{}", Id, "deregister") == HttpStatus::BadRequest, Name);
  }
  LONGS_EQUAL(0, Target.Left.size());
}

TEST(AnnouncementTest, UnusedFieldsMayBeMissing) {
  for (const char *Pointer :
       {"/zone", "/version", "/slots", "/coldLeftMs", "/clockMs"})
    CHECK_TEXT(call(changed({Pointer, Missing})) == HttpStatus::Ok, Pointer);
  CHECK(call(changed({"/later", json::object()})) == HttpStatus::Ok);
}

TEST(AnnouncementTest, StatesAreDecoded) {
  call(announcement().dump());
  call(changed({"/state", "draining"}));
  CHECK_FALSE(Target.Profiles[0].Draining);
  CHECK(Target.Profiles[1].Draining);
  CHECK(call("", "i-1", "deregister") == HttpStatus::Ok);
  STRCMP_EQUAL("i-1", Target.Left[0].Id.c_str());
}

// A restarted worker keeps its id.
TEST(AnnouncementTest, IncarnationsIncludeTheStartTime) {
  call(announcement().dump());
  call(changed({"/born", 1800000000123}));
  CHECK_FALSE(Target.Profiles[0].StartUnixMs.has_value());
  CHECK(Target.Profiles[1].StartUnixMs == 1800000000123U);
  for (const char *Body : {"", "{}", R"({"sequence":4})"})
    CHECK_TEXT(call(Body, "i-1", "deregister") == HttpStatus::Ok, Body);
  CHECK(call(R"({"born":1800000000123})", "i-1", "deregister") ==
        HttpStatus::Ok);
  LONGS_EQUAL(4, Target.Left.size());
  CHECK_FALSE(Target.Left[0].StartUnixMs.has_value());
  CHECK(Target.Left[3].StartUnixMs == 1800000000123U);
  for (const char *Bad : {R"({"born":"x"})", R"({"born":-1})",
                          R"({"born":null})", R"({"born":1.5})", "[]", "x"})
    CHECK_TEXT(call(Bad, "i-1", "deregister") == HttpStatus::BadRequest, Bad);
  LONGS_EQUAL(4, Target.Left.size());
  LONGS_EQUAL(6, Gate.refused());
}

TEST(AnnouncementTest, TheTimesLeftAreDecoded) {
  struct Row {
    const char *Pointer;
    json Value;
    std::chrono::milliseconds ColdLeft;
    std::optional<std::chrono::milliseconds> TimeLeft;
  };
  using std::chrono::milliseconds;
  const Row Rows[] = {
      {"/coldLeftMs", Missing, milliseconds(0), std::nullopt},
      {"/coldLeftMs", 1200, milliseconds(1200), std::nullopt},
      {"/remainingMs", 0, milliseconds(0), milliseconds(0)},
      {"/remainingMs", 2500, milliseconds(0), milliseconds(2500)},
      {"/remainingMs", 4611686018427387904, milliseconds(0),
       std::chrono::hours(24)}};
  for (const Row &Row : Rows) {
    Target.Profiles.clear();
    CHECK(call(changed({Row.Pointer, Row.Value})) == HttpStatus::Ok);
    CHECK(Target.Profiles[0].ColdLeft == Row.ColdLeft);
    CHECK(Target.Profiles[0].TimeLeft == Row.TimeLeft);
  }
}
