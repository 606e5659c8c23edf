#include "core/last_words.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;

namespace {

void throwOnAThread() {
  std::thread([] { throw std::runtime_error("no room"); }).join();
}

void abortProcess() { std::abort(); }

/// Runs \p End in a process of its own and returns what it writes to standard
/// error. \param Status How it ended.
std::string lastWordsOf(void (*End)(), int &Status) {
  std::array<int, 2> Pipe{};
  CHECK(::pipe(Pipe.data()) == 0);
  pid_t Child = ::fork();
  if (Child == 0) {
    ::dup2(Pipe[1], STDERR_FILENO);
    installLastWords({.MemoryBytes = std::size_t{128} << 20});
    End();
    ::_exit(0);
  }
  ::close(Pipe[1]);
  std::string Words;
  std::array<char, 512> Buffer{};
  ssize_t Count = 0;
  while ((Count = ::read(Pipe[0], Buffer.data(), Buffer.size())) > 0)
    Words.append(Buffer.data(), static_cast<std::size_t>(Count));
  ::close(Pipe[0]);
  ::waitpid(Child, &Status, 0);
  return Words;
}

} // namespace

TEST_GROUP(LastWordsTest){};

TEST(LastWordsTest, AProcessSaysWhyItEnds) {
  struct Row {
    void (*End)();
    std::vector<const char *> Words;
  };
  const Row Rows[] = {
      {throwOnAThread,
       {"runtime_error", "no room", "\"memory_limit_kb\":131072", "SIGABRT"}},
      {abortProcess, {"SIGABRT"}}};
  for (const Row &Row : Rows) {
    int Status = 0;
    std::string Words = lastWordsOf(Row.End, Status);
    for (const char *Expected : Row.Words)
      STRCMP_CONTAINS(Expected, Words.c_str());
    CHECK(WIFSIGNALED(Status));
    LONGS_EQUAL(SIGABRT, WTERMSIG(Status));
  }
}

TEST(LastWordsTest, OpenDescriptorsAreCounted) {
  std::size_t Before = openDescriptors();
  std::array<int, 2> Pipe{};
  CHECK(::pipe(Pipe.data()) == 0);
  LONGS_EQUAL(Before + 2, openDescriptors());
  ::close(Pipe[0]);
  ::close(Pipe[1]);
}
