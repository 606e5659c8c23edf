#include "http/answer_writer.h"

#include <system_error>

namespace yardwheel {

void AnswerWriter::write(const std::shared_ptr<HttpConnection> &Open,
                         std::uint64_t Sequence, const HttpAnswer &Answer,
                         const AnswerForm &Form) {
  WriteState State = Open ? Open->answer(Sequence, describeAnswer(Answer, Form))
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
                             std::uint64_t Sequence, const HttpAnswer &Answer) {
  this->write(Open, Sequence, Answer, {.KeepsConnection = false});
}

void AnswerWriter::finishLater(const std::shared_ptr<HttpConnection> &Open) {
  this->Counters.countBlocked();
  try {
    this->Flusher.add(Open);
  } catch (const std::system_error &) {
    // An incomplete answer must end in a broken connection.
    Open->end();
  }
}

} // namespace yardwheel
