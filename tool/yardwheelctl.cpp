//===- tool/yardwheelctl.cpp - The operators' tool ------------------------===//

#include "core/error.h"
#include "core/job_id.h"
#include "http/json.h"
#include "protocol/api.pb.h"
#include "tool/commands.h"

#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(control, "127.0.0.1:7301",
              "Comma-separated IP:port of the control replicas.");
DEFINE_string(entry, "",
              "Comma-separated IP:port of entries, for commands on jobs.");
DEFINE_bool(json, false, "Print answers as JSON instead of tables.");
DEFINE_uint32(timeout_ms, 60000, "Longest wait for one answer.");

namespace yardwheel {

namespace {

const std::vector<Command> &commands() {
  static const std::vector<Command> All = {
      {{"settings", "check"}, "FILE", "Check a settings file.", checkSettings},
      {{"settings", "reference"},
       "",
       "Print the reference tables.",
       printReference},
      {{"template", "apply"},
       "FILE",
       "Store a template from a YAML file.",
       applyTemplate},
      {{"template", "list"}, "", "List the templates.", listTemplates},
      {{"template", "show"}, "NAME", "Show a template.", showTemplate},
      {{"workspace", "create"},
       "NAME --template T [--set KEY=VALUE]...",
       "Create a workspace from a template.",
       createWorkspace},
      {{"workspace", "set"},
       "NAME --set KEY=VALUE... [--base-version N]",
       "Change a workspace's parameters.",
       setWorkspace},
      {{"workspace", "show"}, "NAME", "Show a workspace.", showWorkspace},
      {{"workspace", "list"}, "", "List the workspaces.", listWorkspaces},
      {{"minions"}, "", "List upstreams' agents and entries.", listUpstreams},
      {{"status"}, "", "Show every control replica.", showStatus},
      {{"replica"},
       "add|promote|remove NAME [--address A --http-address A]",
       "Change the set of control replicas by one.",
       changeReplica},
      {{"evacuation", "start"},
       "DATA-CENTRE",
       "Place nothing new in a data centre.",
       startEvacuation},
      {{"evacuation", "finish"},
       "DATA-CENTRE",
       "Use a data centre again after an evacuation.",
       finishEvacuation},
      {{"evacuation", "list"}, "", "List the evacuations.", listEvacuations},
      {{"job", "submit"},
       "WORKSPACE FILE [--id UUID]",
       "Submit a job from a JSON file and wait for its answer.",
       submitJob},
      {{"job", "show"}, "WORKSPACE ID", "Show a job's answer.", showJob},
      {{"job", "cancel"}, "WORKSPACE ID", "Cancel a job.", cancelJob},
      {{"lost"},
       "--logs FOLDER|FILE [--value ROUTE=N]...",
       "Show from logs which decisions lost jobs.",
       showLost},
      {{"policy", "start"},
       "WORKSPACE POLICY=SHARE POLICY=SHARE",
       "Start to compare two policies.",
       startPolicies},
      {{"policy", "stop"}, "WORKSPACE", "End a comparison.", stopPolicies},
      {{"policy", "compare"},
       "WORKSPACE",
       "Show how the policies fare.",
       comparePolicies},
  };
  return All;
}

std::string join(const std::vector<std::string> &Words) {
  std::string Text;
  for (const std::string &Word : Words)
    Text += (Text.empty() ? "" : " ") + Word;
  return Text;
}

void printUsage() {
  fmt::print("yardwheelctl [--control A,B] [--entry A,B] [--json] COMMAND\n");
  for (const Command &Known : commands())
    fmt::print("  {} {}\n      {}\n", join(Known.Name), Known.Usage,
               Known.Help);
  fmt::print("Exit codes: 0 done, 1 no final answer, 2 wrong input, "
             "3 conflict, 4 not found, 5 the job failed.\n");
}

const Command *findCommand(const Arguments &Given) {
  for (const Command &Known : commands())
    if (Given.size() >= Known.Name.size() &&
        std::equal(Known.Name.begin(), Known.Name.end(), Given.begin()))
      return &Known;
  return nullptr;
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

bool isShared(const std::string &Argument) {
  for (const char *Name : {"--control", "--entry", "--json", "--timeout_ms"})
    if (Argument == Name || Argument.starts_with(std::string(Name) + "="))
      return true;
  return false;
}

/// Passes the options that all commands share to gflags.
/// \returns the other arguments.
Arguments readShared(const Arguments &Given) {
  std::vector<std::string> Shared = {"yardwheelctl"};
  Arguments Rest;
  for (std::size_t I = 0; I < Given.size(); ++I) {
    if (!isShared(Given[I])) {
      Rest.push_back(Given[I]);
      continue;
    }
    Shared.push_back(Given[I]);
    bool HasValue =
        Given[I].find('=') != std::string::npos || Given[I] == "--json";
    if (!HasValue && I + 1 < Given.size())
      Shared.push_back(Given[++I]);
  }
  std::vector<char *> Pointers;
  Pointers.reserve(Shared.size());
  for (std::string &Word : Shared)
    Pointers.push_back(Word.data());
  int Count = static_cast<int>(Pointers.size());
  char **Start = Pointers.data();
  gflags::ParseCommandLineFlags(&Count, &Start, false);
  return Rest;
}

ExitCode run(const Arguments &Given) {
  Arguments Rest = readShared(Given);
  bool WantsHelp = std::erase_if(Rest, [](const std::string &Word) {
                     return Word == "--help" || Word == "-h";
                   }) > 0;
  const Command *Known = findCommand(Rest);
  if (Known == nullptr) {
    printUsage();
    return WantsHelp ? ExitCode::Ok : ExitCode::Usage;
  }
  if (WantsHelp) {
    fmt::print("yardwheelctl {} {}\n{}\n", join(Known->Name), Known->Usage,
               Known->Help);
    return ExitCode::Ok;
  }
  Rest.erase(Rest.begin(),
             Rest.begin() + static_cast<std::ptrdiff_t>(Known->Name.size()));
  ToolOptions Options;
  Options.Controls = splitList(FLAGS_control);
  Options.Entries = splitList(FLAGS_entry);
  Options.Json = FLAGS_json;
  Options.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  ApiClient Client(Options);
  return Known->Run(Client, Rest);
}

} // namespace

CommandLine expectWords(const Arguments &Rest, std::size_t Count,
                        const std::vector<std::string> &Options,
                        const std::string &Expected) {
  CommandLine Line = readCommandLine(Rest, Options);
  if (Line.Words.size() != Count)
    throw Error("command line", join(Rest), "expected " + Expected);
  return Line;
}

std::string newId() {
  std::random_device Device;
  std::mt19937_64 Random((static_cast<std::uint64_t>(Device()) << 32U) |
                         Device());
  return makeUuidV7(SystemClock().now().Wall, Random).Key;
}

std::string readFile(const std::string &Path) {
  std::stringstream Text;
  if (Path == "-") {
    Text << std::cin.rdbuf();
    return Text.str();
  }
  std::ifstream File(Path);
  if (!File)
    throw Error("file", Path, "cannot be opened");
  Text << File.rdbuf();
  return Text.str();
}

ExitCode printChange(ApiClient &Client, const HttpResult &Answer) {
  api::ChangeAnswer Document;
  ExitCode Code = Client.take(Answer, Document);
  if (Code == ExitCode::Ok && !Client.options().Json)
    fmt::print("done: version {}, in force from revision {}\n",
               Document.version(), Document.revision());
  return Code;
}

} // namespace yardwheel

int main(int Count, char **Arguments) {
  using namespace yardwheel;
  try {
    return static_cast<int>(run({Arguments + 1, Arguments + Count}));
  } catch (const Error &Problem) {
    fmt::print(stderr, "yardwheelctl: {}\n", Problem.what());
    return static_cast<int>(ExitCode::Usage);
  } catch (const std::exception &Problem) {
    fmt::print(stderr, "yardwheelctl: {}\n", Problem.what());
    return static_cast<int>(ExitCode::Unavailable);
  }
}
