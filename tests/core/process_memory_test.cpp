#include "core/process_memory.h"

#include <cstdint>
#include <sstream>
#include <string>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;

namespace {

/// Adds up the values of all lines of a metric.
std::size_t sumOf(const std::string &Text, const std::string &Name) {
  std::istringstream Lines(Text);
  std::size_t Sum = 0;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Name))
      Sum += std::stoull(Line.substr(Line.rfind(' ') + 1));
  return Sum;
}

} // namespace

TEST_GROUP(ProcessMemoryTest){};

TEST(ProcessMemoryTest, TheHoldersAddUpToTheHeap) {
  constexpr std::size_t HeldBytes = 5 * BytesPerMegabyte;
  MemoryReport Report(64 * BytesPerMegabyte);
  Report.setBase();
  std::string Held(HeldBytes, 'x');
  std::string Text = Report.metrics({{"held", HeldBytes}});
  std::size_t Heap = sumOf(Text, "yardwheel_heap_used_bytes");
  CHECK(Heap >= HeldBytes);
  LONGS_EQUAL(Heap, sumOf(Text, "yardwheel_heap_held_bytes"));
  LONGS_EQUAL(HeldBytes,
              sumOf(Text, "yardwheel_heap_held_bytes{holder=\"held\"}"));
  LONGS_EQUAL(64 * BytesPerMegabyte,
              sumOf(Text, "yardwheel_memory_limit_bytes"));
  CHECK(sumOf(Text, "yardwheel_resident_bytes") > HeldBytes);
}
