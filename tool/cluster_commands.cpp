//===- Commands on the cluster itself -------------------------------------===//

#include "core/error.h"
#include "http/json.h"
#include "protocol/api.pb.h"
#include "tool/commands.h"
#include "tool/table_printer.h"

#include <fmt/format.h>

namespace yardwheel {

ExitCode listUpstreams(ApiClient &Client, const Arguments &Rest) {
  expectWords(Rest, 0, {}, "minions");
  api::MinionList List;
  ExitCode Code = Client.take(Client.control("GET", "/v1/members"), List);
  if (Code != ExitCode::Ok || Client.options().Json)
    return Code;
  TableRows Rows = {{"NAME", "ROLE", "STATE", "DATA CENTRE", "RACK", "POOL",
                     "SLOTS", "ADDRESS"}};
  for (const api::MinionDocument &Found : List.minions())
    Rows.push_back({Found.name(), Found.role(), Found.state(),
                    Found.data_centre(), Found.rack(), Found.pool(),
                    fmt::to_string(Found.slots()), Found.address()});
  fmt::print("{}", formatTable(Rows));
  return Code;
}

ExitCode showStatus(ApiClient &Client, const Arguments &Rest) {
  expectWords(Rest, 0, {}, "status");
  TableRows Rows = {{"REPLICA", "ROLE", "LEADER", "TERM", "REVISION", "ENTRIES",
                     "AGENTS", "LOG"}};
  bool Any = false;
  for (const std::string &Address : Client.options().Controls) {
    HttpResult Answer = Client.callOne(Address, "GET", "/v1/status");
    api::StatusDocument Document;
    if (Answer.Status == 0) {
      Rows.push_back({Address, "no answer", "", "", "", "", "", ""});
      continue;
    }
    Any = true;
    ExitCode Code = Client.take(Answer, Document);
    if (Code != ExitCode::Ok)
      return Code;
    Rows.push_back(
        {Document.replica(), Document.role(), Document.leader(),
         fmt::to_string(Document.term()), fmt::to_string(Document.revision()),
         fmt::to_string(Document.entries()), fmt::to_string(Document.agents()),
         fmt::to_string(Document.log_entries())});
  }
  if (!Client.options().Json)
    fmt::print("{}", formatTable(Rows));
  return Any ? ExitCode::Ok : ExitCode::Unavailable;
}

ExitCode changeReplica(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line =
      expectWords(Rest, 2, {"address", "http-address"},
                  "replica add|promote|remove NAME [--address IP:PORT "
                  "--http-address IP:PORT]");
  api::ReplicaChange Document;
  Document.set_action(Line.Words[0]);
  Document.mutable_replica()->set_name(Line.Words[1]);
  Document.mutable_replica()->set_address(Line.get("address"));
  Document.mutable_replica()->set_http_address(Line.get("http-address"));
  return printChange(Client,
                     Client.control("POST", "/v1/replicas", toJson(Document)));
}

namespace {

ExitCode orderEvacuation(ApiClient &Client, const Arguments &Rest,
                         const std::string &Action) {
  CommandLine Line = expectWords(
      Rest, 1, {}, fmt::format("evacuation {} DATA-CENTRE", Action));
  api::EvacuationChange Document;
  Document.set_change_id(newId());
  return printChange(Client, Client.control("POST",
                                            fmt::format("/v1/evacuations/{}/{}",
                                                        Line.Words[0], Action),
                                            toJson(Document)));
}

} // namespace

ExitCode startEvacuation(ApiClient &Client, const Arguments &Rest) {
  return orderEvacuation(Client, Rest, "start");
}

ExitCode finishEvacuation(ApiClient &Client, const Arguments &Rest) {
  return orderEvacuation(Client, Rest, "finish");
}

ExitCode listEvacuations(ApiClient &Client, const Arguments &Rest) {
  expectWords(Rest, 0, {}, "evacuation list");
  api::EvacuationList List;
  ExitCode Code = Client.take(Client.control("GET", "/v1/evacuations"), List);
  if (Code != ExitCode::Ok || Client.options().Json)
    return Code;
  TableRows Rows = {{"DATA CENTRE", "STATE", "UPSTREAMS", "REVISION"}};
  for (const api::EvacuationDocument &Found : List.evacuations())
    Rows.push_back(
        {Found.data_centre(), Found.active() ? "evacuated" : "finished",
         fmt::to_string(Found.upstreams()), fmt::to_string(Found.revision())});
  fmt::print("{}", formatTable(Rows));
  return Code;
}

} // namespace yardwheel
