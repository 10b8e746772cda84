#include <gtest/gtest.h>

#include <string>

#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

/** Adds fast and slow endpoints that have learned speeds, each with room for
 * two tasks.
 */
void AddEndpoints(SchedulerWorld& world, int fast, int slow) {
  for (int i = 0; i < fast; ++i)
    world.AddEndpoint("fast" + std::to_string(i), 16, 0.55);
  for (int i = 0; i < slow; ++i)
    world.AddEndpoint("slow" + std::to_string(i), 16, 1.2);
  world.Run({20});
  for (auto& [id, endpoint] : world.scheduler.endpoints)
    endpoint.slowness = world.endpoints.at(id).slowness;
}

JobResult SubmitLargerThanDeclared(SchedulerWorld& world, uint32_t tasks) {
  world.SubmitJob(
      SchedulerWorld::MakeSubmission("large", tasks, 7, {850}, "route"),
      {1'400});
  world.Run({1'600});
  return world.results[SubmissionId("large")].outcome.result;
}

// The fast endpoints are busy when a job arrives that takes far longer than it
// declares. It starts on slow endpoints, where it would miss its caller's
// deadline. When the fast ones are free again, it must be moved and completed.
TEST(RunRelocationTest, LargeJobIsMovedToFreeFastEndpoints) {
  SchedulerWorld world;
  AddEndpoints(world, 2, 4);
  world.Submit("earlier", 4, 7, {350}, "short");
  world.Run({5});
  EXPECT_EQ(SubmitLargerThanDeclared(world, 4), JobResult::kCompleted);
  EXPECT_GT(world.scheduler.counters.relocated_runs, 0U);
  EXPECT_TRUE(world.overlaps.empty());
}

// Only a part of the job would fit on the fast endpoints, so the caller would
// not be served by moving it. Nothing is moved.
TEST(RunRelocationTest, JobThatFitsOnlyInPartIsNotMoved) {
  SchedulerWorld world;
  AddEndpoints(world, 1, 6);
  world.Submit("earlier", 2, 7, {350}, "short");
  world.Run({5});
  SubmitLargerThanDeclared(world, 8);
  EXPECT_EQ(world.scheduler.counters.relocated_runs, 0U);
}

// Runs that end in time where they are stay there.
TEST(RunRelocationTest, RunsThatEndInTimeAreNotMoved) {
  SchedulerWorld world;
  AddEndpoints(world, 2, 4);
  world.Submit("earlier", 4, 7, {350}, "short");
  world.Run({5});
  world.Submit("usual", 4, 7, {1'000}, "route");
  world.Run({1'600});
  EXPECT_EQ(world.results[SubmissionId("usual")].outcome.result,
            JobResult::kCompleted);
  EXPECT_EQ(world.scheduler.counters.relocated_runs, 0U);
}

}  // namespace
}  // namespace dogwoodfall
