#include "core/process_memory.h"

#include <fstream>
#include <unistd.h>

namespace yardwheel {

std::size_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::size_t TotalPages = 0;
  std::size_t ResidentPages = 0;
  if (!(File >> TotalPages >> ResidentPages))
    return 0;
  return ResidentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace yardwheel
