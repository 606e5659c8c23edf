#include "core/text.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;

TEST_GROUP(TextTest){};

TEST(TextTest, AcceptsOnlyWellFormedUtf8) {
  struct Row {
    std::string Text;
    bool Good;
  };
  const Row Table[] = {
      {"plain", true},
      {"", true},
      {"\xc4\x8d\xe2\x82\xac\xf0\x9f\x8c\x8c", true},
      {"\xff", false},
      {"\xc3", false},
      {"\xc0\xaf", false},
      {"\xe0\x80\x80", false},
      {"\xed\xa0\x80", false},
      {"\xf4\x90\x80\x80", false},
  };
  for (const Row &Case : Table)
    CHECK_EQUAL_TEXT(Case.Good, isUtf8(Case.Text),
                     printable(Case.Text).c_str());
}

TEST(TextTest, PrintableReplacesAndCuts) {
  STRCMP_EQUAL("a?b", printable("a\nb").c_str());
  STRCMP_EQUAL("abc", printable("abcdef", 3).c_str());
}
