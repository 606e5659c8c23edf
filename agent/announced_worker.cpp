#include "agent/announced_worker.h"

#include "agent/lease_keeper.h"
#include "protocol/task_needs.h"

namespace yardwheel {

AnnouncedWorker AnnouncedWorker::of(LeaseKeeper &Keeper) {
  AnnouncedWorker Present;
  Present.Incarnation = Keeper.incarnation();
  Present.Leaving = Keeper.isLeaving();
  Present.Room = Keeper.session().profile().Room;
  if (std::optional<peer::WorkerKind> Kind = Keeper.workerKind()) {
    Present.Pool = Kind->pool();
    Present.Labels = {Kind->labels().begin(), Kind->labels().end()};
  }
  return Present;
}

void AnnouncedWorker::writeTo(peer::Member &Member) const {
  Member.set_incarnation(this->Incarnation);
  Member.set_state(this->Leaving ? peer::MEMBER_LEAVING : peer::MEMBER_ALIVE);
  Member.set_pool(this->Pool);
  *Member.mutable_room() = this->Room;
  Member.clear_labels();
  for (const std::string &Label : this->Labels)
    Member.add_labels(Label);
}

bool AnnouncedWorker::operator==(const AnnouncedWorker &Other) const {
  return this->Incarnation == Other.Incarnation &&
         this->Leaving == Other.Leaving &&
         isSameNeeds(this->Room, Other.Room) && this->Pool == Other.Pool &&
         this->Labels == Other.Labels;
}

} // namespace yardwheel
