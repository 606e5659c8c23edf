#include "review/support/record.h"

#include <cstdlib>
#include <fmt/format.h>
#include <iostream>
#include <stdexcept>
#include <string_view>

namespace yardwheel::review {

Record::Record(const std::string &Path) : File(Path) {
  if (!this->File)
    throw std::runtime_error("the record cannot be written");
}

void Record::add(const std::string &Line) {
  std::scoped_lock Lock(this->Mutex);
  std::string Text =
      fmt::format("{:8.3f} {}", this->secondsAt(SteadyClock::now()), Line);
  this->File << Text << std::endl;
  std::cout << Text << std::endl;
}

double Record::secondsAt(SteadyClock::time_point At) const {
  return std::chrono::duration<double>(At - this->Start).count();
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string_view(Value) != "0";
}

} // namespace yardwheel::review
