#include "coordination/first_contacts.h"
#include "tests/coordination/coordinator_fixture.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now = TimePoint(1h);
constexpr TimePoint Never = TimePoint::min();

FirstContactOptions contactOptions(std::uint32_t MaxUnanswered) {
  FirstContactOptions Options;
  Options.MaxUnanswered = MaxUnanswered;
  Options.DataCentre = "near";
  return Options;
}

CoordinatorOptions pacedOptions() {
  CoordinatorOptions Options;
  Options.FirstContacts = contactOptions(2);
  return Options;
}

class PacedContactsFixture : public CoordinatorFixture {
protected:
  PacedContactsFixture() : CoordinatorFixture(pacedOptions()) {}
  std::size_t contacted() const { return this->Sink.Renewals.size(); }
  void tickAfter(std::chrono::milliseconds Pause) {
    this->Now.Steady += Pause;
    this->Coordinator.tick(this->Now, TimePoint::min());
  }
};

} // namespace

TEST_GROUP(FirstContactsTest){};

TEST(FirstContactsTest, NearAgentsComeFirstWithinTheLimit) {
  struct Row {
    const char *Name;
    std::uint32_t MaxUnanswered;
    std::vector<FirstContact> Unheard;
    std::size_t Chosen;
    std::size_t Near;
  };
  const Row Rows[] = {
      {"none left", 2, {}, 0, 0},
      {"no limit",
       0,
       {{"a", "far", Never}, {"b", "near", Never}, {"c", "far", Never}},
       3,
       1},
      {"near first",
       2,
       {{"a", "far", Never},
        {"b", "near", Never},
        {"c", "far", Never},
        {"d", "near", Never}},
       2,
       2},
      {"far ones as well",
       3,
       {{"a", "far", Never}, {"b", "near", Never}, {"c", "far", Never}},
       3,
       1},
      {"one is awaited",
       2,
       {{"a", "near", Now - 100ms}, {"b", "near", Never}, {"c", "near", Never}},
       1,
       1},
      {"all places are awaited",
       2,
       {{"a", "near", Now - 100ms},
        {"b", "near", Now - 10ms},
        {"c", "near", Never}},
       0,
       0},
      {"one that may be down does not count",
       2,
       {{"a", "near", Now - 150ms},
        {"b", "near", Now - 10ms},
        {"c", "near", Never}},
       1,
       1},
  };
  for (const Row &Case : Rows) {
    std::vector<std::string> Chosen = chooseFirstContacts(
        Case.Unheard, contactOptions(Case.MaxUnanswered), 1, Now);
    LONGS_EQUAL_TEXT(Case.Chosen, Chosen.size(), Case.Name);
    auto IsNear = [&](const std::string &Agent) {
      auto Found = std::ranges::find(Case.Unheard, Agent, &FirstContact::Agent);
      return Found->DataCentre == "near" && Found->ContactedAt == Never;
    };
    LONGS_EQUAL_TEXT(Case.Near, std::ranges::count_if(Chosen, IsNear),
                     Case.Name);
  }
}

// All processes start at once after a loss of power.
TEST(FirstContactsTest, ProcessesBeginWithDifferentAgents) {
  std::vector<FirstContact> Unheard;
  constexpr int Agents = 60;
  Unheard.reserve(Agents);
  for (int I = 0; I < Agents; ++I)
    Unheard.push_back({std::to_string(I), "near", Never});
  std::set<std::string> Chosen;
  constexpr std::uint64_t Processes = 10;
  for (std::uint64_t Seed = 1; Seed <= Processes; ++Seed)
    for (const std::string &Agent :
         chooseFirstContacts(Unheard, contactOptions(2), Seed, Now))
      Chosen.insert(Agent);
  CHECK(Chosen.size() > Processes);
}

TEST_GROUP_BASE(PacedContactsTest, PacedContactsFixture){};

// An agent that is down delays the others by a bounded time, and is contacted
// again like any other.
TEST(PacedContactsTest, AnswersAndSilenceLetTheNextOnesFollow) {
  for (const char *Name : {"f1", "f2", "f3"})
    announceAgent(Name, 4000, "far");
  for (const char *Name : {"n1", "n2"})
    announceAgent(Name, 4000, "near");
  tickAfter(20ms);
  LONGS_EQUAL(2, contacted());
  LONGS_EQUAL(1, Sink.Renewals["n1"]);
  LONGS_EQUAL(1, Sink.Renewals["n2"]);
  tickAfter(20ms);
  LONGS_EQUAL(2, contacted());
  reportLoad("n1");
  tickAfter(20ms);
  LONGS_EQUAL(3, contacted());
  // n2 and one of the far ones leave the contact unanswered.
  tickAfter(150ms);
  LONGS_EQUAL(5, contacted());
  tickAfter(2000ms);
  LONGS_EQUAL(2, Sink.Renewals["n2"]);
}
