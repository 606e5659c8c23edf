//===- tool/api_client.h - Calls on control and entries ---------*- C++ -*-===//
///
/// \file
/// Sends a request to the first replica or entry that gives a final answer.
/// Only what may safely be sent twice is: reads, changes with an id, and
/// submissions with an id.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TOOL_API_CLIENT_H
#define YARDWHEEL_TOOL_API_CLIENT_H

#include "http/http_client.h"
#include "tool/command_line.h"

#include <google/protobuf/message.h>
#include <string>
#include <vector>

namespace yardwheel {

/// The options that all commands share.
struct ToolOptions {
  std::vector<std::string> Controls;
  std::vector<std::string> Entries;
  bool Json = false;
  std::chrono::milliseconds Timeout{10000};
};

class ApiClient {
public:
  explicit ApiClient(ToolOptions Options);

  /// Asks control replicas in turn until one answers.
  HttpResult control(const std::string &Method, const std::string &Path,
                     const std::string &Body = "");
  /// Asks entries in turn until one answers.
  HttpResult entry(const std::string &Method, const std::string &Path,
                   const std::string &Body = "");
  HttpResult callOne(const std::string &Address, const std::string &Method,
                     const std::string &Path);

  const ToolOptions &options() const { return this->Options; }

  /// Prints the answer as JSON, if that is asked for or if it is no success,
  /// else reads it into \p Document. \returns the exit code so far.
  ExitCode take(const HttpResult &Answer,
                google::protobuf::Message &Document) const;

private:
  HttpResult tryAll(const std::vector<std::string> &Addresses,
                    const std::string &Method, const std::string &Path,
                    const std::string &Body);

  ToolOptions Options;
  HttpClient Client;
};

/// The exit code that a status stands for.
ExitCode exitCodeFor(long Status);

} // namespace yardwheel

#endif
