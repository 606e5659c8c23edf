//===- tool/command_line.h - Words and options of a command -----*- C++ -*-===//
///
/// \file
/// gflags reads the options that all commands share (--control, --entry,
/// --json, --timeout); what is left are the command's words and its own
/// options, which this reads. gflags knows no options of one command only.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TOOL_COMMAND_LINE_H
#define YARDWHEEL_TOOL_COMMAND_LINE_H

#include <map>
#include <string>
#include <vector>

namespace yardwheel {

/// Exit codes of yardwheelctl; scripts may rely on them.
enum class ExitCode : int {
  Ok = 0,
  /// The cluster could not be reached or gave no final answer.
  Unavailable = 1,
  /// The command line, a file or a value is wrong.
  Usage = 2,
  /// Somebody else's change came first.
  Conflict = 3,
  NotFound = 4,
  /// The job ended with a declared failure.
  JobFailed = 5,
};

struct CommandLine {
  std::vector<std::string> Words;
  /// Values of repeated options, in order.
  std::map<std::string, std::vector<std::string>> Options;

  bool has(const std::string &Name) const {
    return this->Options.contains(Name);
  }
  /// The last value of an option, or \p Default.
  std::string get(const std::string &Name,
                  const std::string &Default = "") const;
};

/// Splits "--name value" and "--name=value" from the words.
/// \throws Error if an option is not one of \p Known or has no value.
CommandLine readCommandLine(const std::vector<std::string> &Arguments,
                            const std::vector<std::string> &Known);

} // namespace yardwheel

#endif
