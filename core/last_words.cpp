#include "core/last_words.h"

#include "core/process_memory.h"

#include <csignal>
#include <cstdlib>
#include <cxxabi.h>
#include <exception>
#include <filesystem>
#include <fmt/format.h>
#include <string_view>
#include <typeinfo>
#include <unistd.h>

namespace yardwheel {

namespace {

ProcessLimits Stated;

struct FatalSignal {
  int Number;
  std::string_view Words;
};

constexpr FatalSignal FatalSignals[] = {
    {SIGABRT, "{\"event\":\"process_ends\",\"signal\":\"SIGABRT\"}\n"},
    {SIGSEGV, "{\"event\":\"process_ends\",\"signal\":\"SIGSEGV\"}\n"},
    {SIGBUS, "{\"event\":\"process_ends\",\"signal\":\"SIGBUS\"}\n"},
    {SIGFPE, "{\"event\":\"process_ends\",\"signal\":\"SIGFPE\"}\n"},
    {SIGILL, "{\"event\":\"process_ends\",\"signal\":\"SIGILL\"}\n"},
};

/// Writes to standard error without allocating memory. The process ends in any
/// case, so a failure is of no consequence.
void writeWords(std::string_view Words) {
  while (!Words.empty()) {
    ssize_t Count = ::write(STDERR_FILENO, Words.data(), Words.size());
    if (Count <= 0)
      return;
    Words.remove_prefix(static_cast<std::size_t>(Count));
  }
}

/// Runs in a signal handler: uses only functions that are safe there.
void onFatalSignal(int Number) {
  for (const FatalSignal &Known : FatalSignals)
    if (Known.Number == Number)
      writeWords(Known.Words);
  ::raise(Number);
}

/// Formats into a buffer on the stack, as the heap may be exhausted.
void reportException(const char *Type, const char *What) {
  constexpr std::size_t MaxWords = 1024;
  char Buffer[MaxWords];
  auto End = fmt::format_to_n(
      Buffer, MaxWords - 1,
      R"({{"event":"process_ends","exception":"{}","reason":"{}",)"
      R"("resident_kb":{},"memory_limit_kb":{},"descriptors":{},)"
      R"("max_descriptors":{}}})",
      Type, What, residentBytes() / BytesPerKilobyte,
      Stated.MemoryBytes / BytesPerKilobyte, openDescriptors(),
      Stated.MaxDescriptors);
  *End.out = '\n';
  writeWords({Buffer, static_cast<std::size_t>(End.out - Buffer) + 1});
}

[[noreturn]] void onTerminate() {
  const std::type_info *Type = abi::__cxa_current_exception_type();
  try {
    if (std::exception_ptr Thrown = std::current_exception())
      std::rethrow_exception(Thrown);
    reportException("", "terminated without an exception");
  } catch (const std::exception &Problem) {
    reportException(Type == nullptr ? "" : Type->name(), Problem.what());
  } catch (...) {
    reportException(Type == nullptr ? "" : Type->name(), "");
  }
  std::abort();
}

} // namespace

std::size_t openDescriptors() {
  std::error_code Problem;
  std::size_t Count = 0;
  for (std::filesystem::directory_iterator Entry("/proc/self/fd", Problem), End;
       !Problem && Entry != End; Entry.increment(Problem))
    ++Count;
  return Count;
}

void installLastWords(const ProcessLimits &Limits) {
  Stated = Limits;
  std::set_terminate(onTerminate);
  for (const FatalSignal &Known : FatalSignals) {
    struct sigaction Action {};
    Action.sa_handler = onFatalSignal;
    Action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    ::sigaction(Known.Number, &Action, nullptr);
  }
}

} // namespace yardwheel
