#include "tool/api_client.h"

#include "http/json.h"

#include <fmt/format.h>
#include <thread>

namespace yardwheel {

namespace {

constexpr long HttpOk = 200;
constexpr long HttpAccepted = 202;
constexpr long HttpBadRequest = 400;
constexpr long HttpNotFound = 404;
constexpr long HttpConflict = 409;
constexpr long HttpUnavailable = 503;
constexpr int MaxRounds = 6;
constexpr std::chrono::milliseconds RoundPause{500};

} // namespace

ExitCode exitCodeFor(long Status) {
  switch (Status) {
  case HttpOk:
  case HttpAccepted:
    return ExitCode::Ok;
  case HttpBadRequest:
    return ExitCode::Usage;
  case HttpNotFound:
    return ExitCode::NotFound;
  case HttpConflict:
    return ExitCode::Conflict;
  default:
    return ExitCode::Unavailable;
  }
}

ApiClient::ApiClient(ToolOptions Options)
    : Options(std::move(Options)), Client(this->Options.Timeout) {}

HttpResult ApiClient::tryAll(const std::vector<std::string> &Addresses,
                             const std::string &Method, const std::string &Path,
                             const std::string &Body) {
  HttpResult Last;
  Last.Problem = "no address is given";
  for (int Round = 0; Round < MaxRounds; ++Round) {
    for (const std::string &Address : Addresses) {
      std::string Url = fmt::format("http://{}{}", Address, Path);
      Last = this->Client.call(Method, Url, Body);
      bool Final = Last.Status != 0 && Last.Status != HttpUnavailable;
      if (Final)
        return Last;
    }
    // An election or a restart may be in progress.
    if (Round + 1 < MaxRounds)
      std::this_thread::sleep_for(RoundPause);
  }
  return Last;
}

HttpResult ApiClient::control(const std::string &Method,
                              const std::string &Path,
                              const std::string &Body) {
  return this->tryAll(this->Options.Controls, Method, Path, Body);
}

HttpResult ApiClient::entry(const std::string &Method, const std::string &Path,
                            const std::string &Body) {
  return this->tryAll(this->Options.Entries, Method, Path, Body);
}

HttpResult ApiClient::callOne(const std::string &Address,
                              const std::string &Method,
                              const std::string &Path) {
  return this->Client.call(Method, fmt::format("http://{}{}", Address, Path));
}

ExitCode ApiClient::take(const HttpResult &Answer,
                         google::protobuf::Message &Document) const {
  if (Answer.Status == 0) {
    fmt::print(stderr, "yardwheelctl: no answer: {}\n", Answer.Problem);
    return ExitCode::Unavailable;
  }
  ExitCode Code = exitCodeFor(Answer.Status);
  if (this->Options.Json) {
    fmt::print("{}", Answer.Body);
    return Code;
  }
  if (Code != ExitCode::Ok) {
    fmt::print(stderr, "yardwheelctl: status {}: {}", Answer.Status,
               Answer.Body);
    return Code;
  }
  std::string Wrong = fromJson(Answer.Body, Document);
  if (!Wrong.empty()) {
    fmt::print(stderr, "yardwheelctl: unreadable answer: {}\n", Wrong);
    return ExitCode::Unavailable;
  }
  return Code;
}

} // namespace yardwheel
