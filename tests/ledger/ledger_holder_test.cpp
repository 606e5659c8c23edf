#include "ledger/ledger_holder.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;

namespace {

constexpr std::chrono::milliseconds Allowance{100};
constexpr std::chrono::milliseconds Retention{10000};
const WallTime Start = fromUnixMillis(1800000000000);

CatalogView viewWith(std::uint64_t Epoch, bool Sealed,
                     const char *Holder = "a1") {
  CatalogView View;
  peer::HolderGroup &Group = View.Groups[0];
  Group.set_epoch(Epoch);
  Group.set_sealed(Sealed);
  Group.set_group_count(1);
  Group.add_holders(Holder);
  return View;
}

peer::ClaimRequest request(const char *Key, const char *Entry,
                           std::uint64_t Attempt, WallTime Stamp) {
  peer::ClaimRequest Request;
  Request.set_job_key(Key);
  Request.mutable_owner()->set_entry(Entry);
  Request.mutable_owner()->set_incarnation(Entry[1]);
  Request.set_attempt(Attempt);
  Request.set_epoch(1);
  Request.set_stamp_ms(toUnixMillis(Stamp));
  return Request;
}

peer::ClaimRelease release(const char *Key, const char *Entry,
                           std::uint64_t Attempt) {
  peer::ClaimRelease Release;
  Release.set_job_key(Key);
  Release.mutable_owner()->set_entry(Entry);
  Release.mutable_owner()->set_incarnation(Entry[1]);
  Release.set_attempt(Attempt);
  return Release;
}

} // namespace

TEST_GROUP(LedgerHolderTest) {
  LedgerHolder Holder{"a1", {Retention, Allowance}};
  WallTime Later = Start + std::chrono::seconds(1);

  void setup() override { Holder.setGroups(viewWith(1, false), Start); }
};

TEST(LedgerHolderTest, DecidesByStampEpochAndRecord) {
  struct Row {
    const char *Name;
    std::int64_t StampOffsetMs;
    std::uint64_t Epoch;
    peer::ClaimVerdict Expected;
  };
  const Row Table[] = {
      {"fresh", 1000, 1, peer::CLAIM_GRANTED},
      {"ahead within the clock allowance", 1100, 1, peer::CLAIM_GRANTED},
      {"in the future", 1101, 1, peer::CLAIM_IN_FUTURE},
      {"before records are complete", 200, 1, peer::CLAIM_CANNOT_KNOW},
      {"just after records are complete", 201, 1, peer::CLAIM_GRANTED},
      {"too old", -9001, 1, peer::CLAIM_EXPIRED},
      {"other epoch", 1000, 2, peer::CLAIM_WRONG_EPOCH},
  };
  for (const Row &Case : Table) {
    peer::ClaimRequest Request =
        request(Case.Name, "e1", 1,
                Start + std::chrono::milliseconds(Case.StampOffsetMs));
    Request.set_epoch(Case.Epoch);
    LONGS_EQUAL_TEXT(Case.Expected, Holder.onClaim(Request, Later).verdict(),
                     Case.Name);
  }
}

TEST(LedgerHolderTest, GrantsAgainOnlyToTheSameOwner) {
  LONGS_EQUAL(peer::CLAIM_GRANTED,
              Holder.onClaim(request("k", "e1", 1, Later), Later).verdict());
  LONGS_EQUAL(peer::CLAIM_GRANTED,
              Holder.onClaim(request("k", "e1", 1, Later), Later).verdict());
  peer::ClaimReply Other = Holder.onClaim(request("k", "e2", 1, Later), Later);
  LONGS_EQUAL(peer::CLAIM_HELD, Other.verdict());
  STRCMP_EQUAL("e1", Other.owner().entry().c_str());
}

TEST(LedgerHolderTest, OnlyTheOwnersNewestReleaseTakesEffect) {
  Holder.onClaim(request("k", "e1", 5, Later), Later);
  // A delayed duplicate of an earlier attempt must not make that attempt's
  // release effective.
  Holder.onClaim(request("k", "e1", 3, Later), Later);
  Holder.onRelease(release("k", "e1", 3));
  LONGS_EQUAL(peer::CLAIM_HELD,
              Holder.onClaim(request("k", "e2", 1, Later), Later).verdict());
  Holder.onRelease(release("k", "e2", 9));
  LONGS_EQUAL(peer::CLAIM_HELD,
              Holder.onClaim(request("k", "e2", 1, Later), Later).verdict());
  Holder.onRelease(release("k", "e1", 5));
  LONGS_EQUAL(peer::CLAIM_ABSENT,
              Holder.onClaim(request("k", "e1", 4, Later), Later).verdict());
  LONGS_EQUAL(peer::CLAIM_GRANTED,
              Holder.onClaim(request("k", "e2", 1, Later), Later).verdict());
}

TEST(LedgerHolderTest, ASealedGroupGrantsNothing) {
  Holder.setGroups(viewWith(1, true), Later);
  LONGS_EQUAL(peer::CLAIM_WRONG_EPOCH,
              Holder.onClaim(request("k", "e1", 1, Later), Later).verdict());
}

TEST(LedgerHolderTest, RejoiningAGroupDiscardsEarlierKnowledge) {
  Holder.setGroups(viewWith(2, false, "other"), Later);
  WallTime Rejoined = Later + std::chrono::seconds(2);
  Holder.setGroups(viewWith(1, false), Rejoined);
  LONGS_EQUAL(peer::CLAIM_CANNOT_KNOW,
              Holder.onClaim(request("k", "e1", 1, Later), Rejoined).verdict());
}

TEST(LedgerHolderTest, ReadOnlyClaimsAreNotRecorded) {
  peer::ClaimRequest ReadOnly = request("k", "e1", 1, Later);
  ReadOnly.set_read_only(true);
  LONGS_EQUAL(peer::CLAIM_ABSENT, Holder.onClaim(ReadOnly, Later).verdict());
  LONGS_EQUAL(0, Holder.size());
}

TEST(LedgerHolderTest, RemovesRecordsOnlyOnceTheirIdsAreExpired) {
  Holder.onClaim(request("k", "e1", 1, Later), Later);
  WallTime Edge = Later + Retention + 2 * Allowance;
  Holder.expire(Edge);
  LONGS_EQUAL(1, Holder.size());
  Holder.expire(Edge + std::chrono::milliseconds(1));
  LONGS_EQUAL(0, Holder.size());
  LONGS_EQUAL(peer::CLAIM_EXPIRED,
              Holder.onClaim(request("k", "e2", 1, Later), Edge).verdict());
}
