#include "http/answer_counters.h"

#include <fmt/format.h>

namespace yardwheel {

void AnswerCounters::countAnswered(int Status) {
  auto Index = static_cast<std::size_t>(Status);
  if (Index < StatusLimit)
    ++this->ByStatus[Index];
}

std::uint64_t AnswerCounters::answered(int Status) const {
  auto Index = static_cast<std::size_t>(Status);
  return Index < StatusLimit ? this->ByStatus[Index].load() : 0;
}

std::string AnswerCounters::describe() const {
  std::string Text;
  for (std::size_t Status = 0; Status < StatusLimit; ++Status) {
    std::uint64_t Count = this->ByStatus[Status].load();
    if (Count > 0)
      Text += fmt::format("yardwheel_answers_total{{status=\"{}\"}} {}\n",
                          Status, Count);
  }
  Text += fmt::format("yardwheel_answers_without_caller_total {}\n",
                      this->withoutCaller());
  Text += fmt::format("yardwheel_answers_blocked_total {}\n", this->blocked());
  return Text;
}

} // namespace yardwheel
