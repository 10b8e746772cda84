#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>

#include "core/fleet/handover_flow.h"
#include "fleet_world.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

TEST(JobEvidenceTest, RepeatThatReachesANewOwnerBeforeItHasListedTheRun) {
  for (int delay = 1; delay < 200; delay += 10) {
    FleetWorld world;
    SetUpTwoZones(world);
    world.StartDaemon("north2", "north");
    world.RunFor({1'000});
    const std::string scheduler = world.OwnerOf("north");
    world.Submit("north2", "job", 1, {1'400});
    world.RunFor({1'250});
    ASSERT_EQ(world.CountRuns("job"), 1U);
    EndpointId running;
    for (const auto& [id, endpoint] : world.endpoints) {
      if (!endpoint.running.empty())
        running = id;
    }
    world.store_delay = [&](const DaemonId& id) {
      return id.value == scheduler || id.value == "north2" ? Millis{150}
                                                           : Millis();
    };
    bool is_lost = false;
    world.is_answer_lost = [&](const EndpointCommand& command) {
      if (command.endpoint != running || is_lost)
        return false;
      const auto* renewal = std::get_if<RenewRuns>(&command.command);
      is_lost = renewal != nullptr && renewal->wait == Millis() &&
                !renewal->lease_until;
      return is_lost;
    };
    world.DeregisterDaemon(scheduler);
    world.RunFor({delay});
    world.Submit("south0", "job", 1, {1'400});
    world.RunFor({300});
    EXPECT_TRUE(world.overlaps.empty()) << delay;
  }
}

TEST(JobEvidenceTest, RepeatThatReachesANewOwnerWhileItListsRunsIsNotStarted) {
  for (int delay = 1; delay < 30; ++delay) {
    FleetWorld world;
    SetUpTwoZones(world);
    world.StartDaemon("north2", "north");
    world.RunFor({1'000});
    const std::string scheduler = world.OwnerOf("north");
    world.Submit("north2", "job", 1, {1'400});
    world.RunFor({1'250});
    world.store_delay = [&](const DaemonId& id) {
      return id.value == scheduler || id.value == "north2" ? Millis{150}
                                                           : Millis();
    };
    world.DeregisterDaemon(scheduler);
    world.RunFor({delay});
    world.Submit("south0", "job", 1, {1'400});
    world.RunFor({300});
    EXPECT_TRUE(world.overlaps.empty()) << delay;
  }
}

}  // namespace
}  // namespace dogwoodfall
