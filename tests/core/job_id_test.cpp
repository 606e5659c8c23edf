#include "core/job_id.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;

TEST_GROUP(JobIdTest){};

TEST(JobIdTest, ParsesOnlyUuidsOfVersionSeven) {
  struct Row {
    const char *Text;
    bool Good;
    std::int64_t Millis;
  };
  const Row Table[] = {
      {"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", true, 1645557742000},
      {"017F22E2-79B0-7CC3-98C4-DC0C0C07398F", true, 1645557742000},
      {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", false, 0},
      {"017f22e2-79b0-7cc3-78c4-dc0c0c07398f", false, 0},
      {"017f22e2-79b0-7cc3-98c4-dc0c0c07398", false, 0},
      {"017f22e2x79b0-7cc3-98c4-dc0c0c07398f", false, 0},
      {"017f22e2-79b0-7cc3-98c4-dc0c0c07398g", false, 0},
      {"", false, 0},
  };
  for (const Row &Case : Table) {
    std::optional<JobId> Parsed = parseUuidV7(Case.Text);
    CHECK_EQUAL_TEXT(Case.Good, Parsed.has_value(), Case.Text);
    if (Parsed)
      LONGS_EQUAL(Case.Millis, toUnixMillis(Parsed->FirstSubmitted));
  }
}

TEST(JobIdTest, BothSpellingsNameOneJob) {
  std::optional<JobId> Lower =
      parseUuidV7("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  std::optional<JobId> Upper =
      parseUuidV7("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  STRCMP_EQUAL(Lower->Key.c_str(), Upper->Key.c_str());
}

TEST(JobIdTest, GeneratedIdsContainTheirTime) {
  std::mt19937_64 Random(7);
  for (std::int64_t Millis : {0L, 1L, 1645557742000L, 0xffffffffffffL}) {
    JobId Made = makeUuidV7(fromUnixMillis(Millis), Random);
    std::optional<JobId> Parsed = parseUuidV7(Made.Key);
    CHECK_TRUE_TEXT(Parsed.has_value(), Made.Key.c_str());
    LONGS_EQUAL(Millis, toUnixMillis(Parsed->FirstSubmitted));
  }
}

TEST(JobIdTest, PlainKeysAreBounded) {
  struct Row {
    std::string Key;
    bool Good;
  };
  const Row Table[] = {
      {"kiosk-7:42", true},
      {"a", true},
      {std::string(128, 'x'), true},
      {"", false},
      {std::string(129, 'x'), false},
      {"with space", false},
      {"slash/", false},
      {"\xff", false},
  };
  for (const Row &Case : Table)
    CHECK_EQUAL_TEXT(Case.Good, isPlainKey(Case.Key), Case.Key.c_str());
}
