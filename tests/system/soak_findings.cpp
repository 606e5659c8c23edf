#include "tests/system/soak_findings.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace yardwheel {

SoakFindings::SoakFindings(std::uint64_t Seed, std::string Folder)
    : Seed(Seed), Folder(std::move(Folder)), Notes(this->Folder + "/soak.log") {
}

void SoakFindings::add(const std::string &What) {
  ++this->Count;
  std::string Line = fmt::format("FINDING seed={} logs={} {}\n", this->Seed,
                                 this->Folder, What);
  std::fputs(Line.c_str(), stdout);
  std::fflush(stdout);
  this->note("FINDING " + What);
}

void SoakFindings::note(const std::string &What) {
  auto Now = std::chrono::system_clock::now();
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                    Now.time_since_epoch())
                    .count() %
                1000;
  std::lock_guard Lock(this->Mutex);
  this->Notes << fmt::format(
      "{:%H:%M:%S}.{:03} {}\n",
      fmt::gmtime(std::chrono::system_clock::to_time_t(Now)), Millis, What);
  this->Notes.flush();
}

} // namespace yardwheel
