#include "dispatch/route_policy.h"

#include "core/error.h"
#include "dispatch/late_binding_policy.h"
#include "dispatch/random_policy.h"
#include "dispatch/round_robin_policy.h"
#include "dispatch/slot_borrow_policy.h"
#include "dispatch/slot_share_policy.h"
#include "dispatch/two_choices_policy.h"

namespace yardwheel {

namespace {

template <typename Policy> std::unique_ptr<RoutePolicy> make() {
  return std::make_unique<Policy>();
}

struct Registration {
  std::string_view Name;
  std::unique_ptr<RoutePolicy> (*Make)();
};

constexpr Registration Registry[] = {
    {"random", make<RandomPolicy>},
    {"round_robin", make<RoundRobinPolicy>},
    {"two_choices", make<TwoChoicesPolicy>},
    {"slot_share", make<SlotSharePolicy>},
    {"slot_borrow", make<SlotBorrowPolicy>},
    {"late_binding", make<LateBindingPolicy>},
};

} // namespace

std::unique_ptr<RoutePolicy> makePolicy(std::string_view Name) {
  for (const Registration &Row : Registry)
    if (Row.Name == Name)
      return Row.Make();
  throw Error("policy", std::string(Name), "expected a registered policy");
}

} // namespace yardwheel
