#include "settings/settings_parser.h"

#include "core/error.h"
#include "settings/settings_rules.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace yardwheel {

namespace {

constexpr const char *ControlsKey = "controls";

int lineOf(const YAML::Node &Node) { return Node.Mark().line + 1; }

/// Reads one YAML document and collects values and mistakes.
class SettingsReader {
public:
  ParsedSettings read(const YAML::Node &Root) {
    this->readMap(Root, "");
    this->fillDefaults();
    this->checkControls();
    return std::move(this->Result);
  }

private:
  void addMistake(int Line, const std::string &Key, std::string Reason) {
    this->Result.Mistakes.push_back({Line, Key, std::move(Reason)});
  }

  static bool isSection(const std::string &Key) {
    return Key == "entry" || Key == "agent" || Key == "control";
  }

  void readMap(const YAML::Node &Map, const std::string &Prefix) {
    for (const auto &Item : Map) {
      std::string Key = Prefix + Item.first.Scalar();
      if (!this->Seen.insert(Key).second) {
        this->addMistake(lineOf(Item.first), Key, "is set twice");
        continue;
      }
      if (Key == ControlsKey)
        this->readControls(Item.second);
      else if (Prefix.empty() && isSection(Key))
        this->readSection(Key, Item.second);
      else
        this->readScalar(Key, Item.first, Item.second);
    }
  }

  void readSection(const std::string &Key, const YAML::Node &Section) {
    if (Section.IsMap())
      this->readMap(Section, Key + ".");
    else
      this->addMistake(lineOf(Section), Key, "expected a map of settings");
  }

  void readScalar(const std::string &Key, const YAML::Node &Name,
                  const YAML::Node &Value) {
    const std::vector<SettingRule> &Rules = settingRules();
    auto Rule =
        std::find_if(Rules.begin(), Rules.end(),
                     [&](const SettingRule &R) { return R.Key == Key; });
    if (Rule == Rules.end()) {
      this->addMistake(lineOf(Name), Key, "unknown key");
      return;
    }
    if (!Value.IsScalar()) {
      this->addMistake(lineOf(Name), Key, "expected a single value");
      return;
    }
    std::string Expected = Rule->Set(this->Result.Values, Value.Scalar());
    if (!Expected.empty())
      this->addMistake(
          lineOf(Value), Key,
          fmt::format("expected {}, found '{}'", Expected, Value.Scalar()));
  }

  void readControls(const YAML::Node &List) {
    if (!List.IsSequence()) {
      this->addMistake(lineOf(List), ControlsKey,
                       "expected a list of replicas");
      return;
    }
    for (const YAML::Node &Item : List)
      this->readControl(Item);
  }

  void readControl(const YAML::Node &Item) {
    if (!Item.IsMap()) {
      this->addMistake(lineOf(Item), ControlsKey,
                       "expected name, address and http_address");
      return;
    }
    ControlPeer Peer;
    for (const auto &Field : Item)
      this->readControlField(Peer, Field.first, Field.second);
    if (Peer.Name.empty() || Peer.Address.empty() || Peer.HttpAddress.empty())
      this->addMistake(lineOf(Item), ControlsKey,
                       "expected name, address and http_address");
    this->Result.Values.Controls.push_back(Peer);
  }

  void readControlField(ControlPeer &Peer, const YAML::Node &Name,
                        const YAML::Node &Value) {
    const std::string &Key = Name.Scalar();
    std::string Text = Value.IsScalar() ? Value.Scalar() : "";
    bool IsAddressKey = Key == "address" || Key == "http_address";
    if (!IsAddressKey && Key != "name")
      this->addMistake(lineOf(Name), "controls." + Key, "unknown key");
    else if (IsAddressKey && !isAddress(Text))
      this->addMistake(lineOf(Name), "controls." + Key,
                       "expected an IP address and a port");
    else if (Key == "address")
      Peer.Address = Text;
    else if (Key == "http_address")
      Peer.HttpAddress = Text;
    else
      Peer.Name = Text;
  }

  bool appliesToRole(const std::string &Key) const {
    std::size_t Dot = Key.find('.');
    if (Dot == std::string::npos)
      return true;
    return Key.substr(0, Dot) == roleName(this->Result.Values.Role);
  }

  void fillDefaults() {
    for (const SettingRule &Rule : settingRules()) {
      bool Present = this->Seen.contains(Rule.Key);
      bool Applies = this->appliesToRole(Rule.Key);
      if (Present && !Applies)
        this->addMistake(0, Rule.Key, "does not belong to this role");
      if (Present || !Applies)
        continue;
      if (Rule.Default)
        Rule.Set(this->Result.Values, *Rule.Default);
      else
        this->addMistake(0, Rule.Key, "is missing");
    }
  }

  void checkControls() {
    std::set<std::string> Names;
    for (const ControlPeer &Peer : this->Result.Values.Controls)
      if (!Names.insert(Peer.Name).second)
        this->addMistake(0, ControlsKey,
                         fmt::format("'{}' is listed twice", Peer.Name));
    if (this->Result.Values.Controls.empty())
      this->addMistake(0, ControlsKey, "expected at least one control replica");
  }

  ParsedSettings Result;
  std::set<std::string> Seen;
};

} // namespace

ParsedSettings parseSettings(const std::string &Yaml) {
  try {
    YAML::Node Root = YAML::Load(Yaml);
    if (Root.IsMap())
      return SettingsReader().read(Root);
    return {.Values = {}, .Mistakes = {{1, "", "expected a map of settings"}}};
  } catch (const YAML::Exception &Problem) {
    return {.Values = {},
            .Mistakes = {{Problem.mark.line + 1, "", Problem.msg}}};
  }
}

ParsedSettings readSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw Error("settings", Path, "cannot be opened");
  std::stringstream Text;
  Text << File.rdbuf();
  return parseSettings(Text.str());
}

std::string describeMistakes(const std::string &Path,
                             const std::vector<SettingMistake> &Mistakes) {
  std::string Lines;
  for (const SettingMistake &Mistake : Mistakes)
    Lines += fmt::format("{}:{}: {}: {}\n", Path, Mistake.Line, Mistake.Key,
                         Mistake.Reason);
  return Lines;
}

} // namespace yardwheel
