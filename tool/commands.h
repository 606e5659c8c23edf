//===- tool/commands.h - The commands of yardwheelctl -----------*- C++ -*-===//
#ifndef YARDWHEEL_TOOL_COMMANDS_H
#define YARDWHEEL_TOOL_COMMANDS_H

#include "tool/api_client.h"
#include "tool/command_line.h"

#include <string>
#include <vector>

namespace yardwheel {

using Arguments = std::vector<std::string>;

/// A command: the words that name it, its help and its function.
struct Command {
  std::vector<std::string> Name;
  std::string Usage;
  std::string Help;
  ExitCode (*Run)(ApiClient &Client, const Arguments &Rest);
};

ExitCode showLost(ApiClient &Client, const Arguments &Rest);
ExitCode checkSettings(ApiClient &Client, const Arguments &Rest);
ExitCode printReference(ApiClient &Client, const Arguments &Rest);
ExitCode applyTemplate(ApiClient &Client, const Arguments &Rest);
ExitCode listTemplates(ApiClient &Client, const Arguments &Rest);
ExitCode showTemplate(ApiClient &Client, const Arguments &Rest);
ExitCode createWorkspace(ApiClient &Client, const Arguments &Rest);
ExitCode setWorkspace(ApiClient &Client, const Arguments &Rest);
ExitCode showWorkspace(ApiClient &Client, const Arguments &Rest);
ExitCode listWorkspaces(ApiClient &Client, const Arguments &Rest);
ExitCode listUpstreams(ApiClient &Client, const Arguments &Rest);
ExitCode showStatus(ApiClient &Client, const Arguments &Rest);
ExitCode changeReplica(ApiClient &Client, const Arguments &Rest);
ExitCode startEvacuation(ApiClient &Client, const Arguments &Rest);
ExitCode finishEvacuation(ApiClient &Client, const Arguments &Rest);
ExitCode listEvacuations(ApiClient &Client, const Arguments &Rest);
ExitCode submitJob(ApiClient &Client, const Arguments &Rest);
ExitCode showJob(ApiClient &Client, const Arguments &Rest);
ExitCode cancelJob(ApiClient &Client, const Arguments &Rest);
ExitCode startPolicies(ApiClient &Client, const Arguments &Rest);
ExitCode stopPolicies(ApiClient &Client, const Arguments &Rest);
ExitCode comparePolicies(ApiClient &Client, const Arguments &Rest);

/// Parses a command's arguments, which must have \p Count words.
/// \throws Error with the \p Expected usage if the count differs.
CommandLine expectWords(const Arguments &Rest, std::size_t Count,
                        const std::vector<std::string> &Options,
                        const std::string &Expected);

/// Returns a new unique id, so that a change sent again is applied once.
std::string newId();

/// Reads a whole file, or standard input for "-".
std::string readFile(const std::string &Path);

/// Prints the result of a change.
ExitCode printChange(ApiClient &Client, const HttpResult &Answer);

} // namespace yardwheel

#endif
