#include <gtest/gtest.h>

#include <string>

#include "core/scheduling/speed_learning.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

// During an outage, all endpoints hung and far too long run times were learned.
// Afterwards every job would be refused as too late, and no run would ever
// correct what was learned. Most callers must be served again within seconds.
TEST(LearnedTimesTest, JobsRunAgainAfterAnOutageMadeAllTimesTooLong) {
  SchedulerWorld world;
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.Run({20});
  for (auto& [id, endpoint] : world.scheduler.endpoints)
    endpoint.slowness = 12;
  for (int i = 0; i < 20; ++i)
    RecordRunTime(world.scheduler.run_times, CustomerId("service"), "route",
                  {9'000}, 1);
  for (int i = 0; i < 100; ++i) {
    world.Submit("job" + std::to_string(i), 2, 7, {100});
    world.Run({50});
  }
  world.Run({1'500});
  int completed_late = 0;
  for (int i = 50; i < 100; ++i)
    completed_late +=
        world.results[SubmissionId("job" + std::to_string(i))].outcome.result ==
                JobResult::kCompleted
            ? 1
            : 0;
  EXPECT_GE(completed_late, 45);
}

// One route's learned run time is far too long, while jobs of another route run
// and show that the endpoints are sound.
TEST(LearnedTimesTest, RouteIsServedAgainBesideAnotherOne) {
  SchedulerWorld world;
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.Run({20});
  for (int i = 0; i < 20; ++i)
    RecordRunTime(world.scheduler.run_times, CustomerId("service"), "long",
                  {60'000}, 1);
  for (int i = 0; i < 100; ++i) {
    world.Submit("sound" + std::to_string(i), 1, 7, {100}, "sound");
    world.Submit("long" + std::to_string(i), 1, 7, {100}, "long");
    world.Run({50});
  }
  world.Run({1'500});
  int completed = 0;
  for (int i = 50; i < 100; ++i)
    completed += world.results[SubmissionId("long" + std::to_string(i))]
                             .outcome.result == JobResult::kCompleted
                     ? 1
                     : 0;
  EXPECT_GE(completed, 45);
}

// The scheduler does no review for a while, as after a pause. The slowness of
// an endpoint must decay for that time too.
TEST(LearnedTimesTest, SlownessDecaysOverALongGap) {
  SchedulerWorld world;
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.Run({20});
  ManagedEndpoint& slow = world.scheduler.endpoints.at(EndpointId("e0"));
  slow.slowness = 20;
  UpdateSpeeds(world.scheduler, world.now + Millis{30'000});
  EXPECT_LT(slow.slowness, 3);
}

}  // namespace
}  // namespace dogwoodfall
