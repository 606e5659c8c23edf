#include "transport/loop_meter.h"

#include <fmt/format.h>

namespace yardwheel {

namespace {

/// One of this many rounds is measured, as each reading is a system call.
constexpr std::uint64_t MeasuredRounds = 32;

constexpr std::array<const char *, 4> PartNames = {"events", "work", "tick",
                                                   "flush"};

} // namespace

void LoopMeter::beginRound() {
  this->Measures = this->Rounds++ % MeasuredRounds == 0;
  if (this->Measures)
    this->PartBegan = this->Source.threadTime();
}

void LoopMeter::endPart(LoopPart Part) {
  if (!this->Measures)
    return;
  Duration Now = this->Source.threadTime();
  this->Micros.at(static_cast<std::size_t>(Part)) +=
      (Now - this->PartBegan).count();
  this->PartBegan = Now;
}

Duration LoopMeter::used(LoopPart Part) const {
  return Duration(this->Micros.at(static_cast<std::size_t>(Part)).load() *
                  static_cast<std::int64_t>(MeasuredRounds));
}

std::string LoopMeter::describe() const {
  std::string Text;
  for (std::size_t I = 0; I < Parts; ++I)
    Text += fmt::format("yardwheel_loop_processor_ms_total{{part=\"{}\"}} {}\n",
                        PartNames.at(I),
                        this->used(static_cast<LoopPart>(I)).count() / 1000);
  return Text;
}

} // namespace yardwheel
