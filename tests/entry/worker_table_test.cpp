//===- What one agent says of its load ------------------------------------=//
//
// One agent that told a load which no worker can hold had every job of its pool
// refused: the entry added it up with the loads of the others, and eight empty
// workers of nine looked 119,305 times taken. Divided among workers, the same
// figure went over the end of its type, so that just this worker could look
// empty. An agent's word was taken whole, whatever it said of a room that the
// entry knows.
//
//===----------------------------------------------------------------------===//

#include "entry/worker_table.h"

#include <cstdint>
#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t RoomMilli = 4000;
constexpr std::uint64_t Life = 7;
const TimePoint Now(1h);

void addWorker(WorkerTable &Table, const std::string &Name,
               std::uint32_t OthersMilli) {
  peer::Member Member;
  Member.set_name(Name);
  Member.set_incarnation(Life);
  Member.set_state(peer::MEMBER_ALIVE);
  Member.set_pool("pool");
  Member.mutable_room()->set_cpu_milli(RoomMilli);
  Table.update(Member, Now);
  peer::WorkerLoad Load;
  Load.set_incarnation(Life);
  Load.set_stamp(1);
  Load.set_others_cpu_milli(OthersMilli);
  Table.onLoadReport(Name, Load, Now);
}

LeasedJobRequest job() {
  LeasedJobRequest Job;
  Job.Pool = "pool";
  Job.Needs.set_cpu_milli(1000);
  return Job;
}

} // namespace

TEST_GROUP(WorkerTableTest){};

TEST(WorkerTableTest, OneAgentsWordClosesNoPoolAndDrawsNoTasks) {
  struct Row {
    const char *Name;
    std::uint32_t OthersMilli;
  };
  // The last ones come to zero and to little where figures of 32 bits end.
  const Row Rows[] = {{"full", RoomMilli},
                      {"a queue", 2 * RoomMilli},
                      {"more than there can be", 1000 * RoomMilli},
                      {"the most", UINT32_MAX},
                      {"the most but one task", UINT32_MAX - 1000}};
  for (const Row &Row : Rows) {
    WorkerTable Table(WorkerTableOptions(), 1);
    for (int I = 0; I < 8; ++I)
      addWorker(Table, fmt::format("empty-{}", I), 0);
    addWorker(Table, "loud", Row.OthersMilli);
    Table.find("loud")->OwnMilliCores = 2000;
    double Pressure = Table.pressure(job(), 0, Now);
    CHECK_TEXT(Pressure > 0 && Pressure < 1, Row.Name);
    for (const WorkerShare &Share : Table.divide(job(), 8, {}, {}, false, Now))
      CHECK_TEXT(Share.Worker != Table.find("loud"), Row.Name);
  }
}
