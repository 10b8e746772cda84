#include "core/scheduling/spillover.h"

#include <gtest/gtest.h>

#include <map>

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

}  // namespace
}  // namespace dogwoodfall
