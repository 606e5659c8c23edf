#include "tool/command_line.h"

#include "core/error.h"

#include <algorithm>

namespace yardwheel {

std::string CommandLine::get(const std::string &Name,
                             const std::string &Default) const {
  auto Found = this->Options.find(Name);
  return Found == this->Options.end() ? Default : Found->second.back();
}

CommandLine readCommandLine(const std::vector<std::string> &Arguments,
                            const std::vector<std::string> &Known) {
  CommandLine Line;
  for (std::size_t I = 0; I < Arguments.size(); ++I) {
    const std::string &Argument = Arguments[I];
    if (!Argument.starts_with("--")) {
      Line.Words.push_back(Argument);
      continue;
    }
    std::size_t Equals = Argument.find('=');
    std::string Name = Argument.substr(
        2, Equals == std::string::npos ? std::string::npos : Equals - 2);
    if (std::find(Known.begin(), Known.end(), Name) == Known.end())
      throw Error("command line", Argument, "unknown option");
    if (Equals != std::string::npos)
      Line.Options[Name].push_back(Argument.substr(Equals + 1));
    else if (I + 1 < Arguments.size())
      Line.Options[Name].push_back(Arguments[++I]);
    else
      throw Error("command line", Argument, "expected a value");
  }
  return Line;
}

} // namespace yardwheel
