//===- core/last_words.h - Why a process ends -------------------*- C++ -*-===//
#ifndef YARDWHEEL_CORE_LAST_WORDS_H
#define YARDWHEEL_CORE_LAST_WORDS_H

#include <cstddef>
#include <cstdint>

namespace yardwheel {

/// The limits that the host sets for a process; 0 if it states none.
struct ProcessLimits {
  std::size_t MemoryBytes = 0;
  std::uint32_t MaxDescriptors = 0;
};

/// Makes this process report on standard error why it ends: an exception that
/// nobody catches, on any thread, or a fatal signal, with the memory and the
/// descriptors in use and the limits. A process that the host kills reports
/// nothing.
void installLastWords(const ProcessLimits &Limits);

/// Returns the number of descriptors open in this process; 0 if the host does
/// not tell. Lists them, which takes milliseconds for thousands.
std::size_t openDescriptors();

} // namespace yardwheel

#endif
