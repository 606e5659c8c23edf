//===- tool/command_line.h - Words and options of a command -----*- C++ -*-===//
///
/// \file
/// gflags reads the options that all commands share (--control, --entry,
/// --json, --timeout). The remaining arguments are the command's words and its
/// own options, which are parsed here because gflags does not support options
/// of a single command.
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
  /// A concurrent change by another operator was applied first.
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

/// Separates the options "--name value" and "--name=value" from the words.
/// \throws Error if an option is not one of \p Known or has no value.
CommandLine readCommandLine(const std::vector<std::string> &Arguments,
                            const std::vector<std::string> &Known);

} // namespace yardwheel

#endif
