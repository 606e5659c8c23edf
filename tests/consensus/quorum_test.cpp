//===- Which replicas form a quorum ---------------------------------------===//

#include "consensus/quorum.h"

#include <fmt/format.h>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;

namespace {

using Names = std::set<std::string>;

struct CountedVotes {
  std::vector<std::string> Voters;
  std::vector<std::string> FormerVoters;
  Names Supporters;
  LossReports Reports;
  bool Expected;
};

Names namesOf(std::uint64_t Bits, const std::vector<std::string> &All) {
  Names Chosen;
  for (std::size_t I = 0; I < All.size(); ++I)
    if ((Bits >> I & 1U) != 0)
      Chosen.insert(All[I]);
  return Chosen;
}

bool isReached(const std::vector<std::string> &Voters, const Names &Supporters,
               const std::string &Lost) {
  LossReports Reports;
  for (const std::string &Name : Supporters)
    Reports[Name].insert(Lost);
  Quorum Rule(Reports);
  Rule.require(Voters);
  return Rule.isReached(Supporters);
}

} // namespace

TEST_GROUP(QuorumTest){};

TEST(QuorumTest, CountsAMajorityOrAHalfThatReportsALostDisk) {
  const std::vector<std::string> Four = {"a", "b", "c", "d"};
  const std::vector<std::string> Three = {"a", "b", "c"};
  const LossReports Both = {{"c", {"b"}}, {"d", {"b"}}};
  const std::vector<CountedVotes> Table = {
      {{}, {}, {"a"}, {}, false},
      {Three, {}, {"a"}, {}, false},
      {Three, {}, {"a", "c"}, {}, true},
      {Three, {}, {"a", "x"}, {}, false},
      // An odd number has no half.
      {Three, {}, {"c"}, Both, false},
      {Four, {}, {"c", "d"}, {}, false},
      {Four, {}, {"b", "c", "d"}, {}, true},
      {Four, {}, {"c", "d"}, Both, true},
      // Only one of them has reported it.
      {Four, {}, {"c", "d"}, {{"c", {"b"}}}, false},
      // They report different ones.
      {Four, {}, {"c", "d"}, {{"c", {"a"}}, {"d", {"b"}}}, false},
      // The lost one does not belong to the set.
      {Four, {}, {"c", "d"}, {{"c", {"x"}}, {"d", {"x"}}}, false},
      // A vote of the lost one itself does not count.
      {Four, {}, {"b", "c"}, {{"b", {"b"}}, {"c", {"b"}}}, false},
      {Four, {}, {"c"}, Both, false},
      // Neither the former nor the new voters are enough alone.
      {Four, Three, {"c", "d"}, Both, false},
      {Four, Three, {"a", "b"}, {}, false},
      {Four, Three, {"a", "c", "d"}, {}, true},
      {Three, Four, {"a", "b"}, {}, false},
      {{"a", "c", "d"}, Four, {"c", "d"}, Both, true},
  };
  for (std::size_t Row = 0; Row < Table.size(); ++Row) {
    Quorum Rule(Table[Row].Reports);
    Rule.require(Table[Row].Voters);
    if (!Table[Row].FormerVoters.empty())
      Rule.require(Table[Row].FormerVoters);
    CHECK_EQUAL_TEXT(Table[Row].Expected, Rule.isReached(Table[Row].Supporters),
                     fmt::format("row {}", Row).c_str());
  }
}

TEST(QuorumTest, ReachedValueIsThatOfTheSlowestMember) {
  Quorum Majority({});
  Majority.require({"a", "b", "c", "d"});
  LONGS_EQUAL(5, Majority.reachedValue({{"a", 9}, {"b", 7}, {"c", 5}}));
  LONGS_EQUAL(0, Majority.reachedValue({{"a", 9}, {"b", 7}}));
  Quorum Half({{"c", {"b"}}, {"d", {"b"}}});
  Half.require({"a", "b", "c", "d"});
  LONGS_EQUAL(3, Half.reachedValue({{"c", 5}, {"d", 3}}));
  // What the lost one had stored counts towards a majority only.
  LONGS_EQUAL(3, Half.reachedValue({{"b", 9}, {"c", 5}, {"d", 3}}));
}

// Elections and commits are safe as any two quorums share a replica, for each
// number of voters and whichever disk is lost.
TEST(QuorumTest, TwoQuorumsShareAReplica) {
  const std::vector<std::string> All = {"a", "b", "c", "d", "e", "f"};
  for (std::size_t Count = 1; Count <= All.size(); ++Count) {
    const std::vector<std::string> Voters(
        All.begin(), All.begin() + static_cast<std::ptrdiff_t>(Count));
    for (const std::string &Lost : Voters)
      for (std::uint64_t One = 0; One < 1U << Count; ++One)
        for (std::uint64_t Other = 0; Other < 1U << Count; ++Other) {
          bool AreDisjoint = (One & Other) == 0;
          CHECK_FALSE(AreDisjoint &&
                      isReached(Voters, namesOf(One, Voters), Lost) &&
                      isReached(Voters, namesOf(Other, Voters), Lost));
        }
  }
}
