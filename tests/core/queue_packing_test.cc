#include "core/scheduling/queue_packing.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "played_load.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

// Guards against a packing that begins more jobs than it completes, or that
// starves a kind or the largest tasks.
TEST(PackingTest, LongQueueLeavesMoreJobsInTime) {
  for (const double overload : {2.0, 2.5}) {
    const PlayedLoad off = PlayLoad(SchedulingOptions(), overload, 1);
    SchedulingOptions options;
    options.packing = true;
    const PlayedLoad on = PlayLoad(options, overload, 1);
    PrintPlayedLoad("off", off);
    PrintPlayedLoad("on", on);
    EXPECT_GE(on.all.Share(), off.all.Share() + 0.03);
    EXPECT_GE(on.share_in_use, off.share_in_use - 0.02);
    EXPECT_GE(on.large_tasks.Share(), off.large_tasks.Share() - 0.05);
    for (const auto& [route, served] : on.by_kind) {
      EXPECT_GE(served.Share(), off.by_kind.at(route).Share() - 0.05) << route;
      EXPECT_GE(served.Share(), on.all.Share() / 2) << route;
    }
    EXPECT_GT(on.counters.packed_starts, 0U);
    EXPECT_EQ(off.counters.packed_starts, 0U);
  }
}

// Guards against a packing that changes what happens while nothing is queued.
TEST(PackingTest, ChoiceIsAsBeforeWhileNothingIsQueued) {
  std::vector<std::vector<int64_t>> waited(2);
  for (const bool packing : {false, true}) {
    SchedulerWorld world;
    world.scheduler.options.packing = packing;
    for (int i = 0; i < 6; ++i)
      world.AddEndpoint("e" + std::to_string(i), 64, i % 2 == 0 ? 0.7 : 1.7);
    world.Run({20});
    for (int i = 0; i < 20; ++i) {
      world.Submit("job" + std::to_string(i), 2, 20 + i, {60 + 10 * i});
      world.Run({70});
    }
    world.Run({1'500});
    for (const auto& [id, result] : world.results)
      waited[packing ? 1 : 0].push_back(result.waited.count);
  }
  EXPECT_EQ(waited[0].size(), 20U);
  EXPECT_EQ(waited[0], waited[1]);
}

// Guards against small tasks that take each part of an endpoint as it becomes
// free, so that a larger urgent one never fits.
TEST(PackingTest, SmallTasksLeaveTheRoomOfAnUrgentLargeOne) {
  for (const bool packing : {false, true}) {
    SchedulerWorld world;
    world.scheduler.options.packing = packing;
    world.AddEndpoint("e1", 64, 1);
    world.Run({20});
    world.Submit("first", 1, 32, {50}, "early");
    world.Submit("second", 1, 32, {90}, "early");
    world.Submit("large", 1, 60, {80}, "large");
    for (int i = 0; i < 40; ++i) {
      world.Submit("small" + std::to_string(i), 1, 16, {100}, "small");
      world.Run({10});
    }
    world.Run({1'500});
    const CallerResult& large = world.results.at(SubmissionId("large"));
    const bool is_in_time = large.outcome.result == JobResult::kCompleted &&
                            large.waited.count <= 188;
    EXPECT_EQ(is_in_time, packing) << large.waited.count;
    EXPECT_EQ(world.scheduler.counters.reservations > 0, packing);
  }
}

// Guards against tasks that fit nowhere and use up the bound on the tasks of a
// decision, so that smaller ones behind them wait for nothing.
TEST(PackingTest, JobsThatDoNotFitNowBlockNoOthers) {
  SchedulerWorld world;
  world.scheduler.options.packing = true;
  world.AddEndpoint("e1", 64, 1);
  world.Run({20});
  world.Submit("running", 1, 50, {800}, "running");
  for (uint32_t i = 0; i <= kMaxPackedTasks; ++i)
    world.Submit("large" + std::to_string(i), 1, 40, {300}, "large");
  world.Submit("small", 1, 10, {200}, "small");
  world.Run({300});
  const auto small = world.results.find(SubmissionId("small"));
  ASSERT_NE(small, world.results.end());
  EXPECT_EQ(small->second.outcome.result, JobResult::kCompleted);
  EXPECT_LE(small->second.waited.count, 210);
}

// Guards against a decision whose cost grows with the queue.
TEST(PackingTest, DecisionLooksAtBoundedNumberOfTasks) {
  SchedulerWorld world;
  world.scheduler.options.packing = true;
  world.AddEndpoint("e1", 64, 1);
  world.Run({20});
  world.scheduler.starts_blocked_until = world.now + Millis{100};
  for (uint32_t i = 0; i < 2 * kMaxPackedTasks; ++i)
    world.Submit("job" + std::to_string(i), 2, 8, {300});
  const std::vector<SubmissionId> chosen = ChooseJobsToPlace(
      world.scheduler, FindEndpointsWithRoom(world.scheduler, world.now),
      world.now);
  EXPECT_EQ(chosen.size(), kMaxPackedTasks / 2);
}

// Guards against the smallest task taking the room that the largest would fill.
TEST(PackingTest, LargestTaskThatFitsIsStartedFirst) {
  SchedulerWorld world;
  world.scheduler.options.packing = true;
  world.AddEndpoint("e1", 64, 1);
  world.Run({20});
  world.scheduler.starts_blocked_until = world.now + Millis{10};
  world.Submit("small", 1, 30, {500}, "small");
  world.Submit("large", 1, 60, {500}, "large");
  world.Run({40});
  const FakeEndpoint& endpoint = world.endpoints.at(EndpointId("e1"));
  ASSERT_EQ(endpoint.running.size(), 1U);
  EXPECT_EQ(endpoint.running.begin()->first.first.job, SubmissionId("large"));
}

}  // namespace
}  // namespace dogwoodfall
