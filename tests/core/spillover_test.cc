#include "core/scheduling/spillover.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/scheduling/load_trend.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

GroupLoad MakeLoad(const char* zone,
                   uint32_t task_capacity,
                   uint32_t free,
                   uint32_t waiting) {
  return {{ZoneId(zone), 0}, task_capacity, free, waiting};
}

// A job that can start at once in its own group must not move, even if another
// group has more free capacity.
TEST(SpilloverTest, JobStaysInGroupWithFreeCapacity) {
  EXPECT_FALSE(ChooseSpilloverGroup(MakeLoad("own", 20, 4, 0),
                                    {MakeLoad("other", 20, 20, 0)}, 4, 7));
}

// The other group's load is outdated by up to a heartbeat period, so it must
// have some free capacity beyond the job's tasks.
TEST(SpilloverTest, JobMovesOnlyToGroupWithEnoughFreeCapacity) {
  const GroupLoad own = MakeLoad("own", 20, 3, 0);
  EXPECT_FALSE(ChooseSpilloverGroup(own, {MakeLoad("other", 20, 5, 0)}, 4, 7));
  const auto chosen =
      ChooseSpilloverGroup(own, {MakeLoad("other", 20, 6, 0)}, 4, 7);
  ASSERT_TRUE(chosen);
  EXPECT_EQ(chosen->zone, ZoneId("other"));
}

// Several schedulers choose by the same loads. If all of them chose the group
// with the most free capacity, it would be overloaded.
TEST(SpilloverTest, ChoicesAreProportionalToFreeCapacity) {
  std::map<ZoneId, int> chosen;
  for (uint64_t choice = 0; choice < 400; ++choice) {
    const auto group = ChooseSpilloverGroup(
        MakeLoad("own", 20, 0, 5),
        {MakeLoad("a", 20, 10, 0), MakeLoad("b", 30, 30, 0)}, 2, choice);
    ASSERT_TRUE(group);
    ++chosen[group->zone];
  }
  EXPECT_EQ(chosen[ZoneId("a")], 100);
  EXPECT_EQ(chosen[ZoneId("b")], 300);
}

// Between full groups a move must shorten the wait noticeably, or jobs would
// move without benefit.
TEST(SpilloverTest, JobLeavesFullGroupOnlyForMuchShorterQueue) {
  const GroupLoad own = MakeLoad("own", 20, 0, 12);
  EXPECT_FALSE(ChooseSpilloverGroup(own, {MakeLoad("other", 20, 0, 8)}, 2, 7));
  EXPECT_TRUE(ChooseSpilloverGroup(own, {MakeLoad("other", 20, 0, 6)}, 2, 7));
  EXPECT_FALSE(ChooseSpilloverGroup(own, {MakeLoad("empty", 0, 0, 0)}, 2, 7));
  EXPECT_FALSE(ChooseSpilloverGroup(own, {}, 2, 7));
}

GroupRoom MakeRoom(const char* zone,
                   std::array<uint32_t, 3> fitting_tasks,
                   uint32_t kept_tasks = 0) {
  GroupRoom room;
  room.group = {ZoneId(zone), 0};
  room.mean_task_millicores = 32'000;
  room.fitting_tasks = fitting_tasks;
  room.kept_millicores = kept_tasks * 32'000;
  return room;
}

// Guards against large tasks that are sent where only small ones fit: many
// endpoints with a half of a task's room each look like much free capacity.
TEST(SpilloverTest, JobMovesWhereTasksOfItsSizeFit) {
  const std::vector<GroupRoom> rooms = {MakeRoom("split", {60, 4, 0}),
                                        MakeRoom("whole", {20, 20, 10})};
  for (uint64_t choice = 0; choice < 50; ++choice) {
    const auto large = ChooseGroupWithRoom(rooms, 4, 44'000, choice);
    ASSERT_TRUE(large);
    EXPECT_EQ(large->zone, ZoneId("whole"));
  }
  std::map<ZoneId, int> small;
  for (uint64_t choice = 0; choice < 80; ++choice)
    ++small[ChooseGroupWithRoom(rooms, 4, 16'000, choice)->zone];
  EXPECT_EQ(small[ZoneId("split")], 60);
  EXPECT_EQ(small[ZoneId("whole")], 20);
  EXPECT_FALSE(ChooseGroupWithRoom(rooms, 20, 44'000, 7));
}

// Guards against sizes between the counted ones that are taken for smaller.
TEST(SpilloverTest, FittingTasksAreEstimatedBetweenCountedSizes) {
  const GroupRoom room = MakeRoom("a", {40, 20, 6});
  EXPECT_EQ(CountFittingTasks(room, 8'000), 40U);
  EXPECT_EQ(CountFittingTasks(room, 24'000), 30U);
  EXPECT_EQ(CountFittingTasks(room, 32'000), 20U);
  EXPECT_EQ(CountFittingTasks(room, 40'000), 13U);
  EXPECT_EQ(CountFittingTasks(room, 96'000), 3U);
}

// Guards against a thundering herd: two schedulers send jobs to the only group
// with room until its next heartbeat, and must not exceed its room.
TEST(SpilloverTest, TwoSchedulersDoNotOverfillAGroupBetweenHeartbeats) {
  constexpr uint32_t kRoom = 40;
  uint32_t sent = 0;
  for (uint64_t scheduler = 0; scheduler < 2; ++scheduler) {
    std::vector<GroupRoom> rooms = {MakeRoom("empty", {80, kRoom, 20})};
    for (uint64_t job = 0; job < 100; ++job) {
      if (!ChooseGroupWithRoom(rooms, 4, 32'000, 1'000 * scheduler + job))
        break;
      CountSentTasks(rooms.front(), 4, 32'000);
      sent += 4;
    }
  }
  EXPECT_GE(sent, kRoom / 2);
  EXPECT_LE(sent, kRoom);
}

// Guards against a zone that fills with other zones' jobs just before its own
// callers need the room.
TEST(SpilloverTest, GroupKeepsRoomForItsOwnRise) {
  EXPECT_TRUE(
      ChooseGroupWithRoom({MakeRoom("a", {20, 10, 5}, 0)}, 4, 32'000, 7));
  EXPECT_FALSE(
      ChooseGroupWithRoom({MakeRoom("a", {20, 10, 5}, 6)}, 4, 32'000, 7));
}

// Guards against a forecast that lags behind the demand of deployment B, which
// varies by 0.55 with a period of 17 s, or that keeps room while it falls.
TEST(SpilloverTest, TrendForecastsTheNextSecondOfAWave) {
  constexpr double kPi = 3.14159265358979;
  constexpr double kMean = 1'000;
  const auto load_at = [](double time_ms) {
    return kMean * (1 + 0.55 * std::sin(2 * kPi * time_ms / 17'000));
  };
  std::mt19937 random(5);
  std::normal_distribution<double> noise(0, 0.03 * kMean);
  LoadTrend trend;
  double error = 0;
  double naive_error = 0;
  int samples = 0;
  for (int64_t time = 100; time < 34'000; time += 100) {
    const auto time_ms = static_cast<double>(time);
    UpdateLoadTrend(trend, load_at(time_ms) + noise(random), {time});
    if (time < 2'000)
      continue;
    const double rise =
        std::max(load_at(time_ms + 1'000) - load_at(time_ms), 0.0);
    error += std::abs(ForecastRise(trend) - rise);
    naive_error += rise;
    ++samples;
  }
  EXPECT_LE(error / samples, 0.07 * kMean);
  EXPECT_LE(error, 0.8 * naive_error);
}

// Guards against rooms that are counted on endpoints which can't be used, and
// against room whose pieces are added up.
TEST(SpilloverTest, RoomIsCountedForEachEndpoint) {
  SchedulerWorld world;
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 64, 1);
  world.scheduler.mean_task_millicores = 32'000;
  world.Run({20});
  world.Submit("job", 3, 40, {400});
  world.Run({20});
  const EndpointGroup group{ZoneId("north"), 0};
  world.scheduler.mean_task_millicores = 32'000;
  const GroupRoom room = ComputeGroupRoom(world.scheduler, group, world.now);
  // Three endpoints have 24 cores left, one has 64.
  EXPECT_EQ(room.fitting_tasks[0], 3U + 4U);
  EXPECT_EQ(room.fitting_tasks[1], 2U);
  EXPECT_EQ(room.fitting_tasks[2], 1U);
  const auto make_job = [](uint32_t tasks, int64_t cores) {
    return SchedulerWorld::MakeSubmission("next", tasks, cores, {100}, "route")
        .job;
  };
  EXPECT_TRUE(
      HasRoomForJob(world.scheduler, group, make_job(5, 20), world.now));
  EXPECT_FALSE(
      HasRoomForJob(world.scheduler, group, make_job(3, 32), world.now));
}

}  // namespace
}  // namespace dogwoodfall
