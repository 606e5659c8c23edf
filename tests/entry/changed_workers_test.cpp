//===- Workers that come back as another kind while control is away -------===//
//
// Regression test: tasks were started on workers without the label that they
// required. A worker had crashed while control was down, and another kind had
// come back in its place; entries placed tasks there by the labels of the
// earlier incarnation, and no agent checked them.
//
//===----------------------------------------------------------------------===//

#include "emulator/leased_world.h"
#include "tests/support/seeds.h"

#include <fmt/format.h>
#include <random>
#include <string>
#include <vector>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

const char *const Pool = "pool";
const char *const OtherPool = "other-pool";
const std::vector<std::string> Kinds = {"a", "b"};
constexpr std::size_t Agents = 6;
constexpr Duration Load = 12s;
constexpr Duration Step = 20ms;
constexpr std::chrono::milliseconds JobLength{60};

/// How workers change in a story.
struct Row {
  const char *Name;
  /// Whether a worker comes back in another pool now and then.
  bool ChangesPool = false;
  bool KeepsId = false;
  /// Time for which a worker serves before its announcement.
  Duration AnnounceDelay{0};
  /// Whether agents coordinate some of the jobs.
  bool Delegates = false;
  /// Most tasks of a job on one worker.
  std::uint32_t MaxPerWorker = 0;
};

LeasedWorldOptions optionsFor(const Row &Plan, std::uint64_t Seed) {
  LeasedWorldOptions Options;
  Options.Seed = Seed;
  Options.Agents = Agents;
  Options.CapacitiesMilliCores = {8000};
  Options.Labels = {{Kinds[0]}, {Kinds[1]}};
  Options.WorkersKeepId = Plan.KeepsId;
  Options.AnnounceDelay = Plan.AnnounceDelay;
  if (Plan.Delegates) {
    // In use from the start, whatever the load; half of the jobs.
    Options.Delegation.Rule.MaxDelegates = 2;
    Options.Delegation.Rule.PrepareAt = 0;
    Options.Delegation.Rule.HighLoad = 0;
    Options.Delegation.Rule.RaiseStep = 0.5;
    Options.Delegation.Rule.AdjustInterval = 1h;
    Options.WarmUp = 800ms;
  }
  return Options;
}

/// Jobs that require either kind, while the workers change theirs. Nobody tells
/// the entries but the agents themselves.
class Story {
public:
  Story(const Row &Plan, std::uint64_t Seed)
      : Plan(Plan), World(optionsFor(Plan, Seed)), Random(Seed) {}

  void play() {
    for (Duration Passed{0}; Passed < Load; Passed += Step) {
      this->submit(this->draw(2));
      if (this->draw(10) == 0)
        this->changeWorker();
      this->World.world().run(Step);
    }
    this->World.world().run(3s);
  }

  std::uint32_t unsuitableStarts() const {
    return this->World.runs().unsuitableStarts();
  }
  /// \returns how many of some jobs are completed once the workers no longer
  /// change, of which there are some of each kind.
  std::uint32_t completedAfterwards() {
    for (std::size_t I = 0; I < Agents; ++I)
      this->changeWorker(I, Pool, {Kinds[I % 2]}, 500ms);
    this->World.world().run(5s);
    std::uint32_t Completed = 0;
    for (std::size_t I = 0; I < JobsAfterwards; ++I) {
      this->submit(I % 2, [&Completed](const auto &Answer) {
        Completed += Answer && Answer->End == LeasedEnd::Completed ? 1 : 0;
      });
      this->World.world().run(200ms);
    }
    this->World.world().run(2s);
    return Completed;
  }
  static constexpr std::uint32_t JobsAfterwards = 10;

private:
  std::uint64_t draw(std::uint64_t Limit) { return this->Random() % Limit; }

  void submit(
      std::size_t Kind, LeasedEntry::Listener OnAnswer =
                            [](const std::optional<LeasedAnswer> &) {}) {
    LeasedJobRequest Job;
    Job.Id = fmt::format("job-{}", this->World.nextSubmission());
    Job.Route = "route";
    Job.Needs.set_cpu_milli(1000);
    Job.Needs.set_memory_mb(10);
    Job.Estimate = JobLength;
    Job.RequiredLabel = Kinds[Kind];
    Job.MaxPerWorker = this->Plan.MaxPerWorker;
    Job.MaxAttempts = 3;
    Job.Objective = 150ms;
    Job.Deadline = 1500ms;
    this->World.submitJob(this->draw(this->World.entries()), Job,
                          std::vector(4, JobLength), std::move(OnAnswer));
  }
  void changeWorker() {
    bool Leaves = this->Plan.ChangesPool && this->draw(4) == 0;
    this->changeWorker(this->draw(Agents), Leaves ? OtherPool : Pool,
                       {Kinds[this->draw(2)]},
                       std::chrono::milliseconds(20 + this->draw(800)));
  }
  void changeWorker(std::size_t Agent, const std::string &NextPool,
                    const std::set<std::string> &Labels,
                    std::chrono::milliseconds Down) {
    this->World.agent(Agent).setNextWorkerKind(NextPool, Labels);
    this->World.agent(Agent).crashWorker(Down, /*Late=*/Down / 2);
  }

  Row Plan;
  LeasedWorld World;
  std::mt19937_64 Random;
};

} // namespace

TEST_GROUP(ChangedWorkersTest){};

TEST(ChangedWorkersTest, TasksStartOnlyOnWorkersThatAreWhatTheyRequire) {
  constexpr std::uint64_t Seeds = 8;
  const Row Rows[] = {
      {.Name = "another kind"},
      {.Name = "another pool", .ChangesPool = true},
      {.Name = "announced late", .AnnounceDelay = 400ms},
      {.Name = "coordinated by agents", .ChangesPool = true, .Delegates = true},
      {.Name = "under the same id", .KeepsId = true},
      {.Name = "under the same id, announced late",
       .KeepsId = true,
       .AnnounceDelay = 400ms},
      {.Name = "few tasks on a worker", .MaxPerWorker = 2},
  };
  SeedRange Range = seedRange(Seeds);
  std::string Found;
  for (const Row &Plan : Rows)
    for (std::uint64_t Seed = Range.First; Seed <= Range.Last; ++Seed) {
      Story Told(Plan, Seed);
      Told.play();
      std::uint32_t Completed = Told.completedAfterwards();
      if (Told.unsuitableStarts() > 0 || Completed < Story::JobsAfterwards)
        Found += fmt::format("{}, seed {}: {} unsuitable starts, {} of {} "
                             "jobs completed afterwards\n",
                             Plan.Name, Seed, Told.unsuitableStarts(),
                             Completed, Story::JobsAfterwards);
    }
  STRCMP_EQUAL("", Found.c_str());
}
