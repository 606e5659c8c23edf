//===- ControlService: evacuations of data centres ------------------------===//

#include "control/control_service.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

std::size_t ControlService::upstreamsIn(const std::string &DataCentre) const {
  const auto &Entries = this->Members.entries();
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Item) {
        const peer::Member &Member = Item.second.Member;
        return Member.role() == peer::ROLE_AGENT &&
               Member.data_centre() == DataCentre;
      }));
}

void ControlService::proposeEvacuation(const std::string &DataCentre,
                                       bool Active, const std::string &ChangeId,
                                       Instant Now, const ChangeHandler &Done) {
  if (this->Raft->leads()) {
    // An unknown data centre is no error: its hosts may all be cut off.
    this->Log.decision("evacuation_ordered",
                       {{"data_centre", DataCentre},
                        {"active", Active},
                        {"upstreams", this->upstreamsIn(DataCentre)}});
    std::string Older = this->Raft->findOlderThan(EvacuationLogFormat);
    if (!Older.empty()) {
      Done({ProposalState::Unsupported,
            {},
            fmt::format("replica '{}' runs a build without evacuations",
                        Older)});
      return;
    }
  }
  peer::Change Change;
  Change.set_id(ChangeId);
  Change.mutable_set_evacuation()->set_data_centre(DataCentre);
  Change.mutable_set_evacuation()->set_active(Active);
  this->propose(
      Change, Now,
      [this, DataCentre, Active, Ordered = Now.Steady,
       Done](const ProposalOutcome &Outcome) {
        if (Outcome.State == ProposalState::Applied)
          this->Log.decision(
              "evacuation_acknowledged",
              {{"data_centre", DataCentre},
               {"active", Active},
               {"verdict", peer::ChangeVerdict_Name(Outcome.Result.verdict())},
               {"revision", Outcome.Result.revision()},
               {"took_ms", millisBetween(Ordered, this->CurrentTime.Steady)}});
        Done(Outcome);
      });
}

} // namespace yardwheel
