#include "agent/offer_queue.h"

#include <algorithm>

namespace yardwheel {

peer::TaskNeeds multiplyNeeds(const peer::TaskNeeds &Needs,
                              std::uint32_t Tasks) {
  peer::TaskNeeds All;
  All.set_cpu_milli(Needs.cpu_milli() * Tasks);
  All.set_memory_mb(Needs.memory_mb() * Tasks);
  All.set_accelerators(Needs.accelerators() * Tasks);
  return All;
}

void OfferQueue::add(Interest New) {
  auto Later = [&](const Interest &Known) {
    return New.StartBy < Known.StartBy;
  };
  auto Place =
      std::find_if(this->Interests.begin(), this->Interests.end(), Later);
  this->Interests.insert(Place, std::move(New));
}

void OfferQueue::drop(const std::string &Entry, const std::string &Job) {
  std::erase_if(this->Interests, [&](const Interest &Known) {
    return Known.Entry.Node == Entry && Known.Job == Job;
  });
}

void OfferQueue::dropStale(TimePoint Now) {
  std::erase_if(this->Interests, [&](const Interest &Known) {
    return Known.Tasks == 0 || Now >= Known.StartBy;
  });
}

std::uint64_t OfferQueue::reserve(Interest &Target, std::uint32_t Tasks,
                                  TimePoint Now) {
  Target.Tasks -= Tasks;
  this->Offers[++this->LastOffer] = {Target.Entry.Node, Target.Job, Tasks,
                                     multiplyNeeds(Target.Needs, Tasks),
                                     Now + this->Timeout};
  return this->LastOffer;
}

peer::TaskNeeds OfferQueue::release(const std::string &Entry,
                                    std::uint64_t Offer, std::uint32_t Tasks) {
  auto Found = this->Offers.find(Offer);
  if (Found == this->Offers.end() || Found->second.Entry != Entry)
    return {};
  Reservation Answered = std::move(Found->second);
  this->Offers.erase(Found);
  if (Tasks < Answered.Tasks)
    this->drop(Entry, Answered.Job);
  return Answered.Room;
}

std::vector<peer::TaskNeeds> OfferQueue::releaseAll() {
  std::vector<peer::TaskNeeds> Rooms;
  for (const auto &[Number, Offer] : this->Offers)
    Rooms.push_back(Offer.Room);
  this->Offers.clear();
  return Rooms;
}

std::vector<peer::TaskNeeds> OfferQueue::releaseExpired(TimePoint Now) {
  std::vector<peer::TaskNeeds> Rooms;
  std::erase_if(this->Offers, [&](const auto &Item) {
    bool Over = Now >= Item.second.ExpiresAt;
    if (Over)
      Rooms.push_back(Item.second.Room);
    return Over;
  });
  return Rooms;
}

} // namespace yardwheel
