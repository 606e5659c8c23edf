#include "settings/file_watch.h"

#include <filesystem>
#include <fstream>
#include <unistd.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;

TEST_GROUP(FileWatchTest) {
  std::string Path = (std::filesystem::temp_directory_path() /
                      ("ywwatch" + std::to_string(::getpid())))
                         .string();
  void write(const std::string &Text) { std::ofstream(Path) << Text; }
  void teardown() override { std::filesystem::remove(Path); }
};

TEST(FileWatchTest, OnlyDifferentReadableContentIsAChange) {
  struct Row {
    const char *Content;
    bool Expected;
  };
  const Row Rows[] = {
      {"one", false}, {"two", true},  {"two", false},
      {"", false},    {"two", false}, {"one", true},
  };
  write("one");
  FileWatch Watch(Path);
  for (const Row &Row : Rows) {
    write(Row.Content);
    LONGS_EQUAL(Row.Expected, Watch.hasChanged());
  }
  std::filesystem::remove(Path);
  CHECK_FALSE(Watch.hasChanged());
}
