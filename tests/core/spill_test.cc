#include "core/scheduling/spill.h"

#include <gtest/gtest.h>

#include <map>

namespace dogwoodfall {
namespace {

GroupLoad MakeLoad(const char* zone,
                   uint32_t in_all,
                   uint32_t free,
                   uint32_t waiting) {
  return {{ZoneId(zone), 0}, in_all, free, waiting};
}

TEST(SpillTest, AJobStaysWhereItCanStart) {
  EXPECT_FALSE(ChooseSpilloverGroup(MakeLoad("own", 20, 4, 0),
                                    {MakeLoad("other", 20, 20, 0)}, 4, 7));
}

TEST(SpillTest, AJobLeavesForRoomAndNotForLittle) {
  const GroupLoad own = MakeLoad("own", 20, 3, 0);
  EXPECT_FALSE(ChooseSpilloverGroup(own, {MakeLoad("other", 20, 5, 0)}, 4, 7));
  const auto chosen =
      ChooseSpilloverGroup(own, {MakeLoad("other", 20, 6, 0)}, 4, 7);
  ASSERT_TRUE(chosen);
  EXPECT_EQ(chosen->zone, ZoneId("other"));
}

// Several schedulers have the same word of the others.
TEST(SpillTest, ChoicesAreSpreadByRoom) {
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

TEST(SpillTest, BeyondAllRoomTheLongestQueueIsLeft) {
  const GroupLoad own = MakeLoad("own", 20, 0, 12);
  EXPECT_FALSE(ChooseSpilloverGroup(own, {MakeLoad("other", 20, 0, 8)}, 2, 7));
  EXPECT_TRUE(ChooseSpilloverGroup(own, {MakeLoad("other", 20, 0, 6)}, 2, 7));
  EXPECT_FALSE(ChooseSpilloverGroup(own, {MakeLoad("empty", 0, 0, 0)}, 2, 7));
  EXPECT_FALSE(ChooseSpilloverGroup(own, {}, 2, 7));
}

}  // namespace
}  // namespace dogwoodfall
