//===- core/process_memory.h - Memory of this process -----------*- C++ -*-===//
#ifndef YARDWHEEL_CORE_PROCESS_MEMORY_H
#define YARDWHEEL_CORE_PROCESS_MEMORY_H

#include <cstddef>

namespace yardwheel {

/// Returns the resident memory of this process in bytes; 0 if the host does not
/// tell.
std::size_t residentBytes();

} // namespace yardwheel

#endif
