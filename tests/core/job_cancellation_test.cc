#include <gtest/gtest.h>

#include <string>

#include "fleet_world.h"

namespace dogwoodfall {
namespace {

constexpr Millis kRunTime{600};

struct RunningJobFixture {
  RunningJobFixture() {
    SetUpTwoZones(this->world);
    this->receiver = OtherDaemonInZone(this->world.OwnerOf("north"));
    this->world.Submit(this->receiver, "job", 2, kRunTime);
    this->world.RunFor({100});
  }

  FleetWorld world;
  std::string receiver;
};

// A caller is told that its job is cancelled, or that there is none. Neither
// may be said of a job that goes on, whichever daemon is asked.
TEST(JobCancellationTest, CancelledJobIsStoppedWhicheverDaemonIsAsked) {
  for (const char* daemon : {"north0", "north1", "south0", "south1"}) {
    RunningJobFixture fixture;
    FleetWorld& world = fixture.world;
    ASSERT_EQ(world.CountRuns("job"), 2U);
    const CallerToken caller = world.Cancel(daemon, "job");
    world.RunFor({50});
    ASSERT_EQ(world.cancellations.count(caller), 1U) << daemon;
    EXPECT_EQ(world.cancellations.at(caller), CancellationResult::kCancelled);
    EXPECT_EQ(world.CountRuns("job"), 0U) << daemon;
    ASSERT_EQ(world.results.count("job"), 1U) << daemon;
    EXPECT_EQ(world.results.at("job"), JobResult::kCancelled);
  }
}

// The job runs for a repeat as well, which arrived at another daemon.
TEST(JobCancellationTest, CancelledJobIsStoppedForAllItsReceivers) {
  RunningJobFixture fixture;
  FleetWorld& world = fixture.world;
  world.Submit(OtherDaemonInZone(fixture.receiver), "job", 2, kRunTime);
  world.RunFor({50});
  world.Cancel(fixture.receiver, "job");
  world.RunFor({50});
  EXPECT_EQ(world.CountRuns("job"), 0U);
}

// A submission of a cancelled job that arrives late must not start it.
TEST(JobCancellationTest, CancelledJobIsNotStartedBySubmissionsThatFollow) {
  RunningJobFixture fixture;
  FleetWorld& world = fixture.world;
  world.Cancel(fixture.receiver, "job");
  world.RunFor({50});
  world.results.clear();
  world.Submit("south0", "job", 2, kRunTime);
  world.RunFor({100});
  EXPECT_EQ(world.CountRuns("job"), 0U);
  ASSERT_EQ(world.results.count("job"), 1U);
  EXPECT_EQ(world.results.at("job"), JobResult::kCancelled);
}

TEST(JobCancellationTest, UnknownJobIsReportedOnceAllDaemonsHaveAnswered) {
  RunningJobFixture fixture;
  FleetWorld& world = fixture.world;
  const CallerToken caller = world.Cancel("south0", "unknown");
  EXPECT_EQ(world.cancellations.count(caller), 0U);
  world.RunFor({50});
  ASSERT_EQ(world.cancellations.count(caller), 1U);
  EXPECT_EQ(world.cancellations.at(caller), CancellationResult::kUnknownJob);
  EXPECT_EQ(world.CountRuns("job"), 2U);
}

// The daemon that has the job can't be reached. Nobody may say that there is no
// such job.
TEST(JobCancellationTest, UnansweredRequestIsReportedAsUndecided) {
  RunningJobFixture fixture;
  FleetWorld& world = fixture.world;
  world.is_partitioned = [&](const DaemonId& from, const DaemonId& to) {
    return from.value == "south0" && to.value == fixture.receiver;
  };
  const CallerToken caller = world.Cancel("south0", "job");
  world.RunFor({1'200});
  ASSERT_EQ(world.cancellations.count(caller), 1U);
  EXPECT_EQ(world.cancellations.at(caller), CancellationResult::kUndecided);
}

// The new process at the receiver's place knows nothing of the job.
TEST(JobCancellationTest, JobOfARestartedReceiverIsNotUnknownWhileItRuns) {
  RunningJobFixture fixture;
  FleetWorld& world = fixture.world;
  world.KillDaemon(fixture.receiver);
  world.StartDaemon(fixture.receiver, "north");
  world.RunFor({200});
  ASSERT_EQ(world.CountRuns("job"), 2U);
  const CallerToken caller = world.Cancel("south0", "job");
  world.RunFor({50});
  const auto answer = world.cancellations.find(caller);
  if (answer != world.cancellations.end() &&
      answer->second == CancellationResult::kUnknownJob) {
    EXPECT_EQ(world.CountRuns("job"), 0U);
  }
}

}  // namespace
}  // namespace dogwoodfall
