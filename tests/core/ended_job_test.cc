#include <gtest/gtest.h>

#include <string>

#include "core/scheduling/job_flow.h"
#include "fleet_world.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

constexpr Millis kRunTime{1'200};

/** A job that runs on an endpoint which was released here, as another daemon
 * has taken it over, and that ends then. Its stop can't reach the endpoint.
 */
struct ReleasedRunFixture {
  ReleasedRunFixture() {
    this->world.AddEndpoint("e1", 16, 1);
    this->world.Run({20});
    this->world.Submit("job", 1, 7, kRunTime);
    this->world.Run({100});
    this->world.AddEndpoint("e2", 16, 1);
    this->world.Run({20});
    ReleaseEndpoint(this->world.scheduler, EndpointId("e1"), this->world.now);
    Actions actions;
    EndJob(this->world.scheduler, SubmissionId("job"),
           {JobResult::kAbandoned, {}, "not_announced"}, this->world.now,
           actions);
  }

  SchedulerWorld world;
};

// Its scheduler has forgotten that the run was not known to have ended.
TEST(EndedJobTest, RepeatOfAnEndedJobRunsBesideNoRunOnAReleasedEndpoint) {
  ReleasedRunFixture fixture;
  ASSERT_FALSE(fixture.world.endpoints.at(EndpointId("e1")).running.empty());
  fixture.world.Submit("job", 1, 7, {300});
  fixture.world.Run({1'400});
  EXPECT_TRUE(fixture.world.overlaps.empty());
  EXPECT_EQ(fixture.world.results.at(SubmissionId("job")).outcome.result,
            JobResult::kCompleted);
}

TEST(EndedJobTest, JobIsRememberedUntilItsLastRunHasEnded) {
  ReleasedRunFixture fixture;
  SchedulerWorld& world = fixture.world;
  ASSERT_EQ(world.scheduler.ended_jobs.count(SubmissionId("job")), 1U);
  while (world.scheduler.ended_jobs.count(SubmissionId("job")) > 0)
    world.Run({1});
  EXPECT_TRUE(world.endpoints.at(EndpointId("e1")).running.empty());
}

TEST(EndedJobTest, JobWhoseRunsAreListedAsEndedDelaysNoRepeat) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 1, 7, kRunTime);
  world.Run({100});
  Actions actions;
  EndJob(world.scheduler, SubmissionId("job"),
         {JobResult::kAbandoned, {}, "not_announced"}, world.now, actions);
  EXPECT_EQ(world.scheduler.ended_jobs.count(SubmissionId("job")), 1U);
  world.is_command_lost = [](const EndpointCommand&) { return false; };
  for (const Action& action : actions) {
    if (const auto* call = std::get_if<CallEndpoint>(&action))
      ExecuteCommand(world.endpoints.at(EndpointId("e1")), call->command, {},
                     {}, world.now);
  }
  world.Run({300});
  EXPECT_EQ(world.scheduler.ended_jobs.count(SubmissionId("job")), 0U);
}

// The receiver notices late that its caller is gone, and the scheduler can't
// stop the run. The repeat comes 1,300 ms after the first request.
TEST(EndedJobTest, RepeatInAnotherZoneRunsBesideNoRunThatIsBeingStopped) {
  for (const int64_t noticed_at_ms : {750, 900, 1'000, 1'150}) {
    FleetWorld world;
    SetUpTwoZones(world);
    const std::string owner = world.OwnerOf("north");
    const CallerToken caller =
        world.Submit(OtherDaemonInZone(owner), "job", 1, {1'400});
    world.RunFor({noticed_at_ms});
    ASSERT_EQ(world.CountRuns("job"), 1U);
    world.is_endpoint_unreachable = [&owner](const DaemonId& daemon,
                                             const EndpointId&) {
      return daemon.value == owner;
    };
    world.Disconnect(OtherDaemonInZone(owner), caller);
    world.RunFor(Millis{1'300} - Millis{noticed_at_ms});
    world.Submit("south0", "job", 1, {200});
    world.RunFor({1'500});
    EXPECT_TRUE(world.overlaps.empty()) << noticed_at_ms;
  }
}

}  // namespace
}  // namespace dogwoodfall
