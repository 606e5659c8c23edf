//===- Commands on templates and workspaces -------------------------------===//

#include "core/error.h"
#include "http/json.h"
#include "protocol/api.pb.h"
#include "tool/commands.h"
#include "tool/table_printer.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace yardwheel {

namespace {

std::string pathOf(const char *Kind, const std::string &Name) {
  return fmt::format("/v1/{}/{}", Kind, Name);
}

/// Adds the parameters given by `--set KEY=VALUE`.
template <typename Document>
void addParameters(const CommandLine &Line, Document &Target) {
  auto Given = Line.Options.find("set");
  if (Given == Line.Options.end())
    return;
  for (const std::string &Pair : Given->second) {
    std::size_t Equals = Pair.find('=');
    if (Equals == std::string::npos)
      throw Error("command line", Pair, "expected KEY=VALUE");
    api::Parameter *Added = Target.add_parameters();
    Added->set_key(Pair.substr(0, Equals));
    Added->set_value(Pair.substr(Equals + 1));
  }
}

template <typename Document> void printParameters(const Document &Source) {
  TableRows Rows = {{"KEY", "VALUE"}};
  for (const api::Parameter &Given : Source.parameters())
    Rows.push_back({Given.key(), Given.value()});
  fmt::print("{}", formatTable(Rows));
}

std::uint32_t readVersion(const CommandLine &Line) {
  std::string Text = Line.get("base-version", "0");
  for (char C : Text)
    if (C < '0' || C > '9')
      throw Error("command line", "--base-version", "expected a number");
  return static_cast<std::uint32_t>(std::stoul(Text));
}

} // namespace

ExitCode applyTemplate(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line = expectWords(Rest, 1, {"change-id"}, "template apply FILE");
  YAML::Node Root = YAML::Load(readFile(Line.Words[0]));
  if (!Root.IsMap() || !Root["name"] || !Root["parameters"].IsMap())
    throw Error("template", Line.Words[0],
                "expected a map with name and parameters");
  api::TemplateDocument Document;
  Document.set_change_id(Line.get("change-id", newId()));
  for (const auto &Item : Root["parameters"]) {
    api::Parameter *Added = Document.add_parameters();
    Added->set_key(Item.first.Scalar());
    Added->set_value(Item.second.Scalar());
  }
  std::string Path = pathOf("templates", Root["name"].Scalar());
  return printChange(Client, Client.control("PUT", Path, toJson(Document)));
}

ExitCode listTemplates(ApiClient &Client, const Arguments &Rest) {
  expectWords(Rest, 0, {}, "template list");
  api::TemplateList List;
  ExitCode Code = Client.take(Client.control("GET", "/v1/templates"), List);
  if (Code != ExitCode::Ok || Client.options().Json)
    return Code;
  TableRows Rows = {{"TEMPLATE", "REVISION"}};
  for (const api::TemplateDocument &Found : List.templates())
    Rows.push_back({Found.name(), fmt::to_string(Found.revision())});
  fmt::print("{}", formatTable(Rows));
  return Code;
}

ExitCode showTemplate(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line = expectWords(Rest, 1, {}, "template show NAME");
  api::TemplateDocument Document;
  ExitCode Code = Client.take(
      Client.control("GET", pathOf("templates", Line.Words[0])), Document);
  if (Code == ExitCode::Ok && !Client.options().Json)
    printParameters(Document);
  return Code;
}

ExitCode createWorkspace(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line =
      expectWords(Rest, 1, {"template", "set", "change-id"},
                  "workspace create NAME --template T [--set KEY=VALUE]...");
  api::WorkspaceChange Document;
  Document.set_change_id(Line.get("change-id", newId()));
  Document.set_template_name(Line.get("template"));
  addParameters(Line, Document);
  std::string Path = pathOf("workspaces", Line.Words[0]);
  return printChange(Client, Client.control("POST", Path, toJson(Document)));
}

ExitCode setWorkspace(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line =
      expectWords(Rest, 1, {"set", "base-version", "change-id"},
                  "workspace set NAME --set KEY=VALUE... [--base-version N]");
  api::WorkspaceChange Document;
  Document.set_change_id(Line.get("change-id", newId()));
  Document.set_base_version(readVersion(Line));
  addParameters(Line, Document);
  std::string Path = pathOf("workspaces", Line.Words[0]);
  return printChange(Client, Client.control("PATCH", Path, toJson(Document)));
}

ExitCode showWorkspace(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line = expectWords(Rest, 1, {}, "workspace show NAME");
  api::WorkspaceDocument Document;
  ExitCode Code = Client.take(
      Client.control("GET", pathOf("workspaces", Line.Words[0])), Document);
  if (Code != ExitCode::Ok || Client.options().Json)
    return Code;
  fmt::print("workspace {} from template {}, version {}\n", Document.name(),
             Document.template_name(), Document.version());
  for (const api::ExperimentArm &Arm : Document.experiment())
    fmt::print("experiment: {} gets {}%\n", Arm.policy(), Arm.share());
  printParameters(Document);
  return Code;
}

ExitCode listWorkspaces(ApiClient &Client, const Arguments &Rest) {
  expectWords(Rest, 0, {}, "workspace list");
  api::WorkspaceList List;
  ExitCode Code = Client.take(Client.control("GET", "/v1/workspaces"), List);
  if (Code != ExitCode::Ok || Client.options().Json)
    return Code;
  TableRows Rows = {{"WORKSPACE", "TEMPLATE", "VERSION"}};
  for (const api::WorkspaceDocument &Found : List.workspaces())
    Rows.push_back(
        {Found.name(), Found.template_name(), fmt::to_string(Found.version())});
  fmt::print("{}", formatTable(Rows));
  return Code;
}

} // namespace yardwheel
