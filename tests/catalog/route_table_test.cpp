#include "catalog/catalog.h"
#include "catalog/route_table.h"

#include <CppUTest/TestHarness.h>
#include <functional>

using namespace yardwheel;

namespace {

peer::RouteTable tableOf(std::uint64_t Version, const std::string &Document) {
  peer::RouteTable Table;
  Table.set_version(Version);
  Table.set_document(Document);
  Table.add_pools()->set_name("p");
  peer::Route *Route = Table.add_routes();
  Route->set_name("r");
  Route->set_host("h");
  Route->set_path_prefix("/a/");
  Route->set_pool("p");
  Route->set_timeout_ms(1000);
  return Table;
}

peer::ChangeResult apply(Catalog &Target, std::uint64_t Revision,
                         const peer::RouteTable &Table) {
  peer::Change Change;
  *Change.mutable_replace_routes()->mutable_table() = Table;
  return Target.apply(Revision, Change);
}

} // namespace

TEST_GROUP(RouteTableTest){};

TEST(RouteTableTest, AnInvalidTableIsRefusedWithTheReason) {
  struct Row {
    const char *Reason;
    std::function<void(peer::RouteTable &)> MakeInvalid;
  };
  const Row Rows[] = {
      {"version", [](auto &Table) { Table.set_version(0); }},
      {"not in the table",
       [](auto &Table) { Table.mutable_routes(0)->set_pool("q"); }},
      {"timeout",
       [](auto &Table) { Table.mutable_routes(0)->set_timeout_ms(0); }},
      {"another route",
       [](auto &Table) { *Table.add_routes() = Table.routes(0); }},
      {"no other pool",
       [](auto &Table) { *Table.add_pools() = Table.pools(0); }},
  };
  LONGS_EQUAL(0, checkRouteTable(tableOf(1, "d")).size());
  for (const Row &Row : Rows) {
    peer::RouteTable Table = tableOf(1, "d");
    Row.MakeInvalid(Table);
    STRCMP_CONTAINS(Row.Reason, checkRouteTable(Table).c_str());
    Catalog State;
    CHECK(apply(State, 1, Table).verdict() == peer::CHANGE_INVALID);
    LONGS_EQUAL(0, State.routes().version());
  }
}

TEST(RouteTableTest, OnlyAHigherVersionTakesEffect) {
  struct Row {
    std::uint64_t Version;
    const char *Document;
    peer::ChangeVerdict Verdict;
    std::uint64_t ExpectedVersion;
  };
  const Row Rows[] = {{5, "five", peer::CHANGE_DONE, 5},
                      {5, "five", peer::CHANGE_DONE, 5},
                      {5, "other", peer::CHANGE_CONFLICT, 5},
                      {3, "three", peer::CHANGE_DONE, 5},
                      {9, "nine", peer::CHANGE_DONE, 9},
                      {5, "five", peer::CHANGE_DONE, 9}};
  Catalog State;
  std::uint64_t Revision = 0;
  for (const Row &Row : Rows) {
    peer::ChangeResult Result =
        apply(State, ++Revision, tableOf(Row.Version, Row.Document));
    CHECK(Result.verdict() == Row.Verdict);
    LONGS_EQUAL(Row.ExpectedVersion, State.routes().version());
  }
  STRCMP_EQUAL("nine", State.routes().document().c_str());
}

TEST(RouteTableTest, ASnapshotKeepsTheTable) {
  Catalog State;
  apply(State, 4, tableOf(7, "seven"));
  Catalog Restored;
  Restored.loadSnapshot(State.saveSnapshot());
  LONGS_EQUAL(7, Restored.routes().version());
  CHECK(Restored.updateSince(3).has_routes());
  CHECK_FALSE(Restored.updateSince(4).has_routes());
}

TEST(RouteTableTest, TheLongestPrefixOfTheHostWins) {
  peer::RouteTable Table = tableOf(1, "d");
  *Table.add_routes() = Table.routes(0);
  Table.mutable_routes(1)->set_name("longer");
  Table.mutable_routes(1)->set_path_prefix("/a/b/");
  struct Row {
    const char *Host;
    const char *Path;
    const char *Expected;
  };
  const Row Rows[] = {{"h", "/a/x", "r"},
                      {"h", "/a/b/x", "longer"},
                      {"h", "/b/", nullptr},
                      {"g", "/a/x", nullptr}};
  for (const Row &Row : Rows) {
    const peer::Route *Found = findRoute(Table, Row.Host, Row.Path);
    if (Row.Expected == nullptr)
      POINTERS_EQUAL(nullptr, Found);
    else
      STRCMP_EQUAL(Row.Expected, Found->name().c_str());
  }
}
