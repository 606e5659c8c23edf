//===- tool/api_client.h - HTTP calls to control, entries -------*- C++ -*-===//
///
/// \file
/// Sends a request to replicas or entries in turn until one gives a final
/// response. Requests may be sent more than once, so all of them are
/// idempotent: reads, and changes and submissions with an id.
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

  /// Prints the response if JSON output is requested or the status is an error;
  /// otherwise parses it into \p Document.
  /// \returns the exit code for the response.
  ExitCode take(const HttpResult &Answer,
                google::protobuf::Message &Document) const;

private:
  HttpResult tryAll(const std::vector<std::string> &Addresses,
                    const std::string &Method, const std::string &Path,
                    const std::string &Body);

  ToolOptions Options;
  HttpClient Client;
};

/// Returns the exit code for an HTTP status.
ExitCode exitCodeFor(long Status);

} // namespace yardwheel

#endif
