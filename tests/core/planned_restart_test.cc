#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "fleet_world.h"

namespace dogwoodfall {
namespace {

/** Restarts the daemon of the north that does not own its endpoints.
 * @return the item of its previous incarnation, as written while it stopped
 */
FleetMember RestartOtherDaemon(FleetWorld& world) {
  const std::string daemon = OtherDaemonInZone(world.OwnerOf("north"));
  world.StopDaemon(daemon);
  FleetMember leaving = world.Node(daemon).store.self;
  while (world.IsRunning(daemon))
    world.RunFor({10});
  world.RunFor({300});
  world.StartDaemon(daemon, "north");
  world.RunFor({1'000});
  return leaving;
}

void ExpectServed(FleetWorld& world, const std::string& daemon) {
  world.results.clear();
  for (int i = 0; i < 3; ++i) {
    const std::string job = daemon + "-" + std::to_string(i);
    world.Submit(daemon, job, 1, {100});
    world.RunFor({500});
    ASSERT_EQ(world.results.count(job), 1U) << job;
    EXPECT_EQ(world.results.at(job), JobResult::kCompleted) << job;
  }
}

// The item of the previous incarnation is listed again for a moment. The
// daemon's messages must still be accepted by its peers.
TEST(PlannedRestartTest, DaemonWhoseFormerItemIsListedAgainIsServed) {
  FleetWorld world;
  SetUpTwoZones(world);
  const FleetMember former = RestartOtherDaemon(world);
  ExpectServed(world, former.address.id.value);
  world.ReplaceMember(former);
  world.RunFor({2'000});
  ExpectServed(world, former.address.id.value);
}

// The write of a stopping daemon's item is not answered, repeated, and executed
// after its next incarnation has registered.
TEST(PlannedRestartTest, LateWriteOfAFormerIncarnationReplacesNoItem) {
  FleetWorld world;
  SetUpTwoZones(world);
  bool has_lost_write = false;
  bool has_lost_end = false;
  world.store_execution_delay = [&](const DaemonId&, const KeyValueCall& call) {
    const auto* write = std::get_if<WriteMember>(&call);
    if (write != nullptr && write->member.address.leaving && !has_lost_write) {
      has_lost_write = true;
      return Millis{4'000};
    }
    if (std::holds_alternative<EndLease>(call) && !has_lost_end) {
      has_lost_end = true;
      return Millis{6'000};
    }
    return Millis();
  };
  const FleetMember former = RestartOtherDaemon(world);
  const FleetNode& node = world.Node(former.address.id.value);
  const auto listed = [&]() {
    return world.Node(world.OwnerOf("north"))
        .view.members.at(former.address.id)
        .incarnation;
  };
  ASSERT_EQ(listed(), node.self.incarnation);
  for (int i = 0; i < 300; ++i) {
    world.RunFor({10});
    EXPECT_EQ(listed(), node.self.incarnation);
  }
  EXPECT_TRUE(has_lost_write && has_lost_end);
  ExpectServed(world, former.address.id.value);
}

}  // namespace
}  // namespace dogwoodfall
