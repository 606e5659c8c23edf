#include "http/answer_writer.h"

#include <system_error>

namespace yardwheel {

void AnswerWriter::write(const std::shared_ptr<HttpConnection> &Open,
                         std::uint64_t Place, const HttpAnswer &Answer,
                         const AnswerForm &Form) {
  WriteState State = Open ? Open->answer(Place, describeAnswer(Answer, Form))
                          : WriteState::Gone;
  if (State == WriteState::Gone) {
    this->Counters.countWithoutCaller();
    return;
  }
  this->Counters.countAnswered(static_cast<int>(Answer.Status));
  if (State == WriteState::Blocked)
    this->finishLater(Open);
}

void AnswerWriter::writeLast(const std::shared_ptr<HttpConnection> &Open,
                             std::uint64_t Place, const HttpAnswer &Answer) {
  this->write(Open, Place, Answer, {.KeepsConnection = false});
}

void AnswerWriter::finishLater(const std::shared_ptr<HttpConnection> &Open) {
  this->Counters.countBlocked();
  try {
    this->Flusher.add(Open);
  } catch (const std::system_error &) {
    // Half an answer must end as a broken connection.
    Open->end();
  }
}

} // namespace yardwheel
