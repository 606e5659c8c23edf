#include "http/http_message.h"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr const char *LineEnd = "\r\n";

std::string phraseOf(HttpStatus Status) {
  auto Known = boost::beast::http::int_to_status(static_cast<unsigned>(Status));
  return std::string(boost::beast::http::obsolete_reason(Known));
}

} // namespace

std::string describeAnswer(const HttpAnswer &Answer, const AnswerForm &Form) {
  std::string Text = fmt::format("HTTP/1.{} {} {}{}", Form.IsHttp10 ? 0 : 1,
                                 static_cast<int>(Answer.Status),
                                 phraseOf(Answer.Status), LineEnd);
  auto AddHeader = [&Text](const char *Name, const auto &Value) {
    Text += fmt::format("{}: {}{}", Name, Value, LineEnd);
  };
  AddHeader("Content-Type", Answer.ContentType);
  if (Answer.RetryAfter.count() > 0)
    // The header has whole seconds; the body contains the milliseconds.
    AddHeader(
        "Retry-After",
        std::chrono::ceil<std::chrono::seconds>(Answer.RetryAfter).count());
  if (!Answer.Location.empty())
    AddHeader("Location", Answer.Location);
  AddHeader("Connection", Form.KeepsConnection ? "Keep-Alive" : "Close");
  AddHeader("Content-Length", Answer.Body.size());
  Text += LineEnd;
  if (Form.HasBody)
    Text += Answer.Body;
  return Text;
}

} // namespace yardwheel
