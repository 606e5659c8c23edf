#include "coordination/retry_advice.h"

#include <algorithm>
#include <vector>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr RetryAdviceOptions Defaults;

/// Without a random part.
RetryAdviceOptions exactOptions() {
  RetryAdviceOptions Options;
  Options.Spread = 0;
  Options.ReturnShare = 1;
  return Options;
}

} // namespace

TEST_GROUP(RetryAdviceTest) {
  TimePoint Now{1h};
  /// Serves an amount per second for long enough that the rate is known.
  void serve(RetryAdvice & Advice, double PerSecond) {
    constexpr int Steps = 1000;
    for (int I = 0; I < Steps; ++I) {
      this->Now += 10ms;
      Advice.onServed("pool", PerSecond / 100, this->Now);
    }
  }
};

TEST(RetryAdviceTest, ADelayIsTheWaitWithinBounds) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds Wait;
    std::chrono::milliseconds Expected;
  };
  const Row Rows[] = {{"no wait", 0ms, Defaults.MinDelay},
                      {"a short wait", 100ms, Defaults.MinDelay},
                      {"a wait", 700ms, 700ms},
                      {"a long wait", 9000ms, Defaults.MaxDelay}};
  for (const Row &Row : Rows) {
    RetryAdvice Advice(exactOptions(), 1);
    CHECK_TEXT(Advice.advise("pool", Row.Wait, 1, Now) == Row.Expected,
               Row.Name);
  }
}

// Ten of a hundred per second return each 100 ms.
TEST(RetryAdviceTest, ReturnsFollowEachOtherAtTheRateOfService) {
  RetryAdvice Advice(exactOptions(), 1);
  serve(Advice, 100);
  std::chrono::milliseconds Last = Advice.advise("pool", 400ms, 10, Now);
  for (int I = 0; I < 10; ++I) {
    std::chrono::milliseconds Next = Advice.advise("pool", 400ms, 10, Now);
    CHECK(Next - Last >= 95ms && Next - Last <= 105ms);
    Last = Next;
  }
  // Another resource has a queue of its own.
  CHECK(Advice.advise("other", 400ms, 10, Now) == 400ms);
  // Half of the reserved time has passed.
  Now += 550ms;
  CHECK(Advice.advise("pool", 400ms, 0, Now) < 1000ms);
  Now += 2000ms;
  CHECK(Advice.advise("pool", 400ms, 0, Now) == 400ms);
}

// A refused job waits for what is ahead of it, never for a burst that is over.
TEST(RetryAdviceTest, TheQueueOfReturnsEndsSoonAfterABurst) {
  RetryAdvice Advice(exactOptions(), 1);
  serve(Advice, 10);
  for (int I = 0; I < 1000; ++I)
    CHECK(Advice.advise("pool", 400ms, 10, Now) <= Defaults.MaxDelay);
  CHECK(Advice.advise("pool", 400ms, 10, Now) == Defaults.MaxDelay);
  Now += Defaults.MaxDelay;
  CHECK(Advice.advise("pool", 400ms, 0, Now) == 400ms);
}

TEST(RetryAdviceTest, DelaysAreSpreadWithinBounds) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds Wait;
    std::chrono::milliseconds Least;
    std::chrono::milliseconds Most;
  };
  const Row Rows[] = {
      {"shortest", 0ms, Defaults.MinDelay, 375ms},
      {"middle", 800ms, 800ms, 1000ms},
      {"longest", 9000ms, 1600ms, Defaults.MaxDelay},
  };
  for (const Row &Row : Rows) {
    RetryAdvice Advice(Defaults, 1);
    std::vector<std::chrono::milliseconds> Delays(200);
    for (std::chrono::milliseconds &Delay : Delays)
      Delay = Advice.advise("pool", Row.Wait, 1, Now);
    auto [Least, Most] = std::ranges::minmax(Delays);
    CHECK_TEXT(Least >= Row.Least && Most <= Row.Most, Row.Name);
    // The draw uses most of the range.
    CHECK_TEXT(Most - Least >= (Row.Most - Row.Least) * 9 / 10, Row.Name);
  }
}
