//===- core/process_memory.h - Memory of this process -----------*- C++ -*-===//
#ifndef YARDWHEEL_CORE_PROCESS_MEMORY_H
#define YARDWHEEL_CORE_PROCESS_MEMORY_H

#include "core/logger.h"

#include <cstddef>
#include <string>
#include <vector>

namespace yardwheel {

constexpr std::size_t BytesPerKilobyte = 1024;
constexpr std::size_t BytesPerMegabyte = 1048576;

/// Returns the resident memory of this process in bytes; 0 if the host does not
/// tell.
std::size_t residentBytes();

/// The allocator's memory, in bytes.
struct HeapUse {
  std::size_t InUse = 0;
  /// Held by the allocator, but not in use.
  std::size_t Free = 0;
};
HeapUse heapUse();

/// The heap memory of one part of a process, in bytes.
struct MemoryHolder {
  const char *Name;
  std::size_t Bytes = 0;
};

/// Accounts for the memory of a process: what its parts hold, what it held when
/// it had started, and what the heap holds beside these.
class MemoryReport {
public:
  /// \param Limit The memory in bytes at which the host ends the process.
  explicit MemoryReport(std::size_t Limit) : Limit(Limit) {}

  /// Takes the heap in use now for that of an idle process.
  void setBase() { this->Base = heapUse().InUse; }
  /// Describes the memory in Prometheus' text format.
  std::string metrics(const std::vector<MemoryHolder> &Holders) const;
  /// Logs the memory each time it has grown by a further part of the limit,
  /// once a half of the limit is in use. The host ends a process at the limit
  /// without notice.
  void check(const std::vector<MemoryHolder> &Holders, const Logger &Log);

private:
  std::size_t Limit;
  std::size_t Base = 0;
  std::size_t PartsLogged = 0;
};

} // namespace yardwheel

#endif
