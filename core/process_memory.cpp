#include "core/process_memory.h"

#include "core/last_words.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace yardwheel {

namespace {

/// The parts of the limit at which growing memory is logged.
constexpr std::size_t LimitParts = 8;
constexpr std::size_t FirstLoggedPart = 4;

std::string describe(const std::vector<MemoryHolder> &Holders) {
  std::string Text;
  for (const MemoryHolder &Holder : Holders)
    Text += fmt::format("{}{}: {} kB", Text.empty() ? "" : "; ", Holder.Name,
                        Holder.Bytes / BytesPerKilobyte);
  return Text;
}

} // namespace

std::size_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::size_t TotalPages = 0;
  std::size_t ResidentPages = 0;
  if (!(File >> TotalPages >> ResidentPages))
    return 0;
  return ResidentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

HeapUse heapUse() {
  struct mallinfo2 Info = ::mallinfo2();
  return {.InUse = Info.uordblks + Info.hblkhd, .Free = Info.fordblks};
}

std::string
MemoryReport::metrics(const std::vector<MemoryHolder> &Holders) const {
  HeapUse Heap = heapUse();
  std::string Text;
  Text += fmt::format("yardwheel_memory_limit_bytes {}\n", this->Limit);
  Text += fmt::format("yardwheel_resident_bytes {}\n", residentBytes());
  Text += fmt::format("yardwheel_heap_used_bytes {}\n", Heap.InUse);
  Text += fmt::format("yardwheel_heap_free_bytes {}\n", Heap.Free);
  std::size_t Known = this->Base;
  Text += fmt::format("yardwheel_heap_held_bytes{{holder=\"base\"}} {}\n",
                      this->Base);
  for (const MemoryHolder &Holder : Holders) {
    Known += Holder.Bytes;
    Text += fmt::format("yardwheel_heap_held_bytes{{holder=\"{}\"}} {}\n",
                        Holder.Name, Holder.Bytes);
  }
  Text += fmt::format("yardwheel_heap_held_bytes{{holder=\"other\"}} {}\n",
                      Heap.InUse - std::min(Known, Heap.InUse));
  return Text;
}

void MemoryReport::check(const std::vector<MemoryHolder> &Holders,
                         const Logger &Log) {
  if (this->Limit == 0)
    return;
  std::size_t Resident = residentBytes();
  std::size_t Parts = Resident * LimitParts / this->Limit;
  if (Parts < FirstLoggedPart || Parts <= this->PartsLogged) {
    this->PartsLogged = std::min(this->PartsLogged, Parts);
    return;
  }
  this->PartsLogged = Parts;
  HeapUse Heap = heapUse();
  Log.decision("memory_high", {{"resident_kb", Resident / BytesPerKilobyte},
                               {"limit_kb", this->Limit / BytesPerKilobyte},
                               {"heap_used_kb", Heap.InUse / BytesPerKilobyte},
                               {"heap_free_kb", Heap.Free / BytesPerKilobyte},
                               {"base_kb", this->Base / BytesPerKilobyte},
                               {"descriptors", openDescriptors()},
                               {"held", describe(Holders)}});
}

} // namespace yardwheel
