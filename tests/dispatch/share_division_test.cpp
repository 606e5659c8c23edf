#include "dispatch/share_division.h"

#include "tests/support/seeds.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>
#include <random>
#include <vector>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;

TEST_GROUP(ShareDivisionTest) {
  static constexpr double Tolerance = 1e-6;

  static double sum(const ShareDivision &Division) {
    double Sum = 0;
    for (const auto &[Pair, Share] : Division.Shares)
      Sum += Share;
    return Sum;
  }
  static double totalDemand(const ShareClaims &Claims) {
    double Sum = 0;
    for (const auto &[Pair, Claim] : Claims)
      Sum += Claim.Demand;
    return Sum;
  }
};

TEST(ShareDivisionTest, TheRoomIsDividedByGuaranteedShares) {
  struct Row {
    const char *Name;
    double Room;
    /// Guaranteed share and demand of the pairs a, b and c.
    std::vector<ShareClaim> Claims;
    std::vector<double> Shares;
  };
  const Row Rows[] = {{"room for everybody",
                       10000,
                       {{3000, 3000}, {3000, 1000}, {3000, 5000}},
                       {3000, 1000, 5000}},
                      {"one asks for 2.4 times its usual work",
                       10000,
                       {{3000, 7200}, {3000, 3000}, {3000, 3000}},
                       {4000, 3000, 3000}},
                      {"the lender asks for its own again",
                       9000,
                       {{3000, 7200}, {3000, 3000}, {3000, 3000}},
                       {3000, 3000, 3000}},
                      {"two bursts share what is left",
                       10000,
                       {{3000, 7200}, {3000, 7200}, {3000, 2000}},
                       {4000, 4000, 2000}},
                      {"a wide pair borrows more than a narrow one",
                       10000,
                       {{6000, 20000}, {1000, 20000}, {3000, 3000}},
                       {6000, 1000, 3000}},
                      {"borrowing is in proportion to the guaranteed shares",
                       10000,
                       {{4000, 20000}, {1000, 20000}, {3000, 0}},
                       {8000, 2000, 0}},
                      {"guaranteed shares exceed the room",
                       6000,
                       {{6000, 6000}, {3000, 3000}, {3000, 3000}},
                       {3000, 1500, 1500}},
                      {"a pair without a guaranteed share",
                       10000,
                       {{5000, 9000}, {4900, 4900}, {0, 9000}},
                       {5000, 4900, 100}},
                      {"no room", 0, {{1, 1}, {1, 1}, {1, 1}}, {0, 0, 0}}};
  for (const Row &Row : Rows) {
    ShareClaims Claims;
    for (std::size_t I = 0; I < Row.Claims.size(); ++I)
      Claims[{std::string(1, static_cast<char>('a' + I)), ""}] = Row.Claims[I];
    ShareDivision Division = divideRoom(Claims, Row.Room);
    for (std::size_t I = 0; I < Row.Shares.size(); ++I) {
      std::string Name(1, static_cast<char>('a' + I));
      DOUBLES_EQUAL_TEXT(Row.Shares[I], (Division.Shares[{Name, ""}]),
                         Tolerance, Row.Name);
    }
  }
}

TEST(ShareDivisionTest, HoldsItsPromisesForRandomClaims) {
  SeedRange Seeds = seedRange(2000);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    std::mt19937_64 Random(Seed);
    // Wide and narrow pairs: shares from a tenth of a core to 1000 cores.
    std::uniform_real_distribution<double> Magnitude(2, 6);
    std::uniform_real_distribution<double> Factor(0, 3);
    std::uniform_real_distribution<double> RoomFactor(0.3, 2);
    std::vector<std::pair<DemandPair, ShareClaim>> Rows;
    std::size_t Count = 1 + Random() % 16;
    double Guaranteed = 0;
    for (std::size_t I = 0; I < Count; ++I) {
      double Share = std::pow(10, Magnitude(Random));
      Guaranteed += Share;
      Rows.push_back({{fmt::format("r{}", I % 5), fmt::format("d{}", I / 5)},
                      {Share, Share * Factor(Random)}});
    }
    double Room = Guaranteed * RoomFactor(Random);
    ShareClaims Claims(Rows.begin(), Rows.end());
    ShareDivision Division = divideRoom(Claims, Room);
    std::string Text = fmt::format("seed {}", Seed);
    double Margin = Tolerance * Room;
    CHECK_TEXT(sum(Division) <= Room + Margin, Text.c_str());
    // All room is used while anyone asks for more.
    DOUBLES_EQUAL_TEXT(std::min(Room, totalDemand(Claims)), sum(Division),
                       Margin, Text.c_str());
    for (const auto &[Pair, Claim] : Claims) {
      double Share = Division.Shares[Pair];
      CHECK_TEXT(Share <= Claim.Demand, Text.c_str());
      // A pair within its guaranteed share is served in full, if the room
      // suffices for all guaranteed shares.
      bool IsWithin = Claim.Demand <= Claim.Guaranteed && Guaranteed <= Room;
      CHECK_TEXT(!IsWithin || Share >= Claim.Demand - Margin, Text.c_str());
      // Nobody beyond its share could get more without another getting less
      // for its weight.
      if (Share < Claim.Demand - Margin)
        DOUBLES_EQUAL_TEXT(Division.Level, Share / Claim.Guaranteed, Tolerance,
                           Text.c_str());
    }
    // The order of the figures makes no difference.
    std::ranges::shuffle(Rows, Random);
    ShareDivision Again =
        divideRoom(ShareClaims(Rows.begin(), Rows.end()), Room);
    CHECK_TEXT(Again.Shares == Division.Shares, Text.c_str());
    CHECK_TEXT(Again.Level == Division.Level, Text.c_str());
  }
}
