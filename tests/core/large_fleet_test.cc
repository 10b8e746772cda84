#include <gtest/gtest.h>

#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/fleet/fleet_view.h"
#include "core/fleet/handover_flow.h"
#include "core/fleet/heartbeat_flow.h"
#include "fleet_world.h"

namespace dogwoodfall {
namespace {

const std::vector<std::string> kZones = {"north", "south", "west"};

/** Starts three zones with a number of daemons and endpoints each, and runs
 * them until they are ready.
 */
void SetUpZones(FleetWorld& world, int daemons, int endpoints) {
  for (const std::string& zone : kZones) {
    for (int i = 0; i < daemons; ++i)
      world.StartDaemon(zone + std::to_string(i), zone);
    for (int i = 0; i < endpoints; ++i)
      world.AddEndpoint(zone + "-e" + std::to_string(i), zone);
  }
  world.RunFor({3'000});
}

/** Returns the names of a zone's daemons that own groups, or of the others. */
std::vector<std::string> FindDaemons(FleetWorld& world,
                                     const std::string& zone,
                                     int daemons,
                                     bool are_owners) {
  const FleetView& view = world.Node(zone + "0").view;
  std::vector<std::string> found;
  for (int i = 0; i < daemons; ++i) {
    const std::string id = zone + std::to_string(i);
    if (IsOwner(view, DaemonId(id)) == are_owners)
      found.push_back(id);
  }
  return found;
}

// The heartbeats that a daemon sends must not grow with the fleet: at four
// times the daemons, all of them together may send about four times as many for
// each owner of their zone, not sixteen times.
TEST(LargeFleetTest, HeartbeatsGrowByOwnersAndNotByDaemons) {
  constexpr int kDaemons = 24;
  FleetWorld world;
  SetUpZones(world, kDaemons, 12);
  const uint64_t before = world.heartbeat_count;
  world.RunFor({1'000});
  const uint64_t sent = world.heartbeat_count - before;
  // Six owners and two replacements in each of three zones. These
  // eight to each other ten times a second; to and from the zone's 16 others,
  // and between 18 owners of different zones, five times a second.
  constexpr uint64_t kExpected =
      3 * 10 * 8 * 7 + 3 * 5 * 2 * 8 * 16 + 5 * 18 * 12;
  EXPECT_LE(sent, kExpected * 11 / 10);
  EXPECT_GE(sent, kExpected * 9 / 10);
}

// After a power failure, each of hundreds of jobs would cost a message to every
// daemon of the fleet.
TEST(LargeFleetTest, LossesAreAnnouncedToOwnersAndNotToAllDaemons) {
  constexpr int kDaemons = 24;
  FleetWorld world;
  SetUpZones(world, kDaemons, 12);
  FleetNode& node = world.Node(world.OwnerOf("north"));
  const SubmissionId job("job");
  node.scheduler.crash_records[{job, 0, 0}].endpoints.push_back(
      {EndpointId("lost"), 1});
  node.scheduler.unannounced_losses.insert(job);
  Actions actions;
  AnnounceLosses(node, world.now, actions);
  std::set<DaemonId> told;
  for (const Action& action : actions) {
    const auto* frame = std::get_if<SendFrame>(&action);
    if (frame != nullptr && frame->frame.message)
      told.insert(frame->frame.to.id);
  }
  // Six owners and two replacements in each of three zones, but for itself.
  EXPECT_EQ(told.size(), 23U);
  for (const DaemonId& daemon : node.view.all_owners)
    EXPECT_EQ(told.count(daemon), daemon == node.self.id ? 0U : 1U);
}

// Both sides of a pair must agree on whether heartbeats are sent. Otherwise a
// healthy daemon is evicted, or a dead one is never noticed.
TEST(LargeFleetTest, NobodyIsEvictedWhileAllAreHealthy) {
  FleetWorld world;
  SetUpZones(world, 10, 6);
  const uint64_t revision = world.Node("north0").view.revision;
  world.RunFor({5'000});
  EXPECT_EQ(world.Node("north0").view.revision, revision);
}

/** Returns the owner of each of 180 endpoints of a zone. */
std::vector<DaemonId> FindOwners(const FleetView& view) {
  const ZoneId zone("north");
  std::vector<DaemonId> owners;
  for (int i = 0; i < 180; ++i) {
    const EndpointId endpoint("e" + std::to_string(i));
    owners.push_back(
        OwnerOfGroup(view, GroupOfEndpoint(view, zone, endpoint))->address.id);
  }
  return owners;
}

int CountChanges(const std::vector<DaemonId>& a,
                 const std::vector<DaemonId>& b) {
  int changes = 0;
  for (size_t i = 0; i < a.size(); ++i)
    changes += a[i] == b[i] ? 0 : 1;
  return changes;
}

/** Adds a daemon to a zone of a view. */
void Join(FleetView& view, int number) {
  FleetMember member;
  member.address.id = DaemonId("d" + std::to_string(number));
  member.address.zone = ZoneId("north");
  member.address.weight = 50;
  member.revision = member.created_revision = view.revision + 1;
  ApplyMember(view, member);
}

// Daemons join one by one, and the number of groups grows with them. Endpoints
// may only move to the new group, as jobs can't run in two groups.
TEST(LargeFleetTest, NewGroupTakesOnlyItsShareOfEndpoints) {
  const ZoneId zone("north");
  FleetView view;
  for (int i = 0; i < 40; ++i) {
    const FleetView before = view;
    Join(view, i);
    const uint32_t groups = GroupCount(view, zone);
    int moved = 0;
    for (int e = 0; e < 180; ++e) {
      const EndpointId endpoint("e" + std::to_string(e));
      const EndpointGroup group = GroupOfEndpoint(view, zone, endpoint);
      if (group == GroupOfEndpoint(before, zone, endpoint))
        continue;
      ++moved;
      EXPECT_EQ(group.index, groups - 1);
    }
    EXPECT_LE(moved, 2 * 180 / static_cast<int>(groups)) << i;
  }
}

// Only the new group's share of the endpoints may change hands when a daemon
// joins, since each change interrupts the start of tasks.
TEST(LargeFleetTest, JoiningDaemonMovesAtMostItsShareOfEndpoints) {
  FleetView view;
  for (int i = 0; i < 20; ++i)
    Join(view, i);
  for (int i = 20; i < 40; ++i) {
    const std::vector<DaemonId> before = FindOwners(view);
    const uint32_t groups = GroupCount(view, ZoneId("north"));
    Join(view, i);
    const bool has_new_group = GroupCount(view, ZoneId("north")) > groups;
    // Up to twice the mean share of a group, as shares are uneven.
    const int most = has_new_group ? 2 * 180 / static_cast<int>(groups + 1) : 0;
    EXPECT_LE(CountChanges(before, FindOwners(view)), most) << i;
  }
}

// A job whose group has vanished, because its zone has lost daemons, must be
// served by the remaining groups.
TEST(LargeFleetTest, JobsOfAVanishedGroupAreServed) {
  constexpr int kDaemons = 9;
  FleetWorld world;
  SetUpZones(world, kDaemons, 6);
  ASSERT_EQ(GroupCount(world.Node("north0").view, ZoneId("north")), 3U);
  const std::vector<std::string> others =
      FindDaemons(world, "north", kDaemons, false);
  for (int i = 0; i < 5; ++i)
    world.Submit(others.back(), "job" + std::to_string(i), 1, {900});
  world.RunFor({20});
  world.StopDaemon(others.front());
  world.RunFor({100});
  for (int i = 5; i < 9; ++i)
    world.Submit(others.back(), "job" + std::to_string(i), 1, {200});
  world.RunFor({4'000});
  ASSERT_EQ(GroupCount(world.Node("north0").view, ZoneId("north")), 2U);
  for (int i = 0; i < 9; ++i) {
    EXPECT_EQ(world.results["job" + std::to_string(i)], JobResult::kCompleted)
        << i;
  }
  EXPECT_TRUE(world.overlaps.empty());
}

// Endpoints write their items all the time. Only the daemons that own
// endpoints, or may soon, can afford to read them all.
TEST(LargeFleetTest, OnlyOwnersAndTheirReplacementsFollowEndpoints) {
  constexpr int kDaemons = 24;
  FleetWorld world;
  SetUpZones(world, kDaemons, 12);
  size_t followers = 0;
  for (const std::string& zone : kZones) {
    for (int i = 0; i < kDaemons; ++i) {
      const FleetNode& node = world.Node(zone + std::to_string(i));
      followers += node.entries.empty() ? 0 : 1;
      EXPECT_EQ(node.entries.empty(), !node.store.needs_endpoints);
      EXPECT_GT(node.routes.version, 0U);
    }
  }
  // Six owners and two replacements in each zone.
  EXPECT_EQ(followers, kZones.size() * 8);
}

// A daemon becomes an owner without having followed the endpoints. Jobs that
// arrive before it has read them must wait for that, and not be refused.
TEST(LargeFleetTest, JobsWaitUntilANewOwnerHasReadTheEndpoints) {
  constexpr int kDaemons = 10;
  FleetWorld world;
  SetUpZones(world, kDaemons, 6);
  // All daemons that follow the endpoints of the zone leave at once.
  std::string last;
  for (int i = 0; i < kDaemons; ++i) {
    const std::string id = "north" + std::to_string(i);
    if (world.Node(id).store.needs_endpoints)
      world.KillDaemon(id);
    else
      last = id;
  }
  ASSERT_FALSE(last.empty());
  // The dead daemons are evicted after some 440 ms.
  world.RunFor({420});
  for (int i = 0; i < 20; ++i) {
    world.Submit(last, "job" + std::to_string(i), 1, {300});
    world.RunFor({10});
  }
  world.RunFor({2'000});
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(world.results["job" + std::to_string(i)], JobResult::kCompleted)
        << i;
  }
  EXPECT_TRUE(world.overlaps.empty());
}

// A killed owner must be replaced within a second, and jobs of its group must
// complete. A killed receiver must be evicted as well.
TEST(LargeFleetTest, KilledDaemonsAreReplacedWithinASecond) {
  constexpr int kDaemons = 10;
  for (const bool kills_owner : {true, false}) {
    FleetWorld world;
    SetUpZones(world, kDaemons, 6);
    const std::string killed =
        FindDaemons(world, "north", kDaemons, kills_owner).front();
    const std::string receiver =
        FindDaemons(world, "north", kDaemons, false).back();
    for (int i = 0; i < 6; ++i)
      world.Submit(receiver, "job" + std::to_string(i), 1, {500});
    world.RunFor({50});
    world.KillDaemon(killed);
    world.RunFor({1'000});
    for (const std::string& zone : kZones) {
      EXPECT_EQ(world.Node(zone + "9").view.members.count(DaemonId(killed)), 0U)
          << zone << " " << kills_owner;
    }
    world.RunFor({1'000});
    for (int i = 0; i < 6; ++i) {
      EXPECT_EQ(world.results["job" + std::to_string(i)], JobResult::kCompleted)
          << i << " " << kills_owner;
    }
    EXPECT_TRUE(world.overlaps.empty());
  }
}

// A caller sends its job again to another zone, whose receivers do not get the
// heartbeats of the first zone's scheduler. It must join the running job.
TEST(LargeFleetTest, RepeatedJobInAnotherZoneJoinsItsRuns) {
  constexpr int kDaemons = 10;
  FleetWorld world;
  SetUpZones(world, kDaemons, 6);
  const std::string first = FindDaemons(world, "north", kDaemons, false).back();
  const std::string second =
      FindDaemons(world, "south", kDaemons, false).back();
  world.Submit(first, "job", 2, {1'200});
  world.RunFor({1'100});
  world.Submit(second, "job", 2, {1'200});
  world.RunFor({500});
  EXPECT_EQ(world.results["job"], JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
  uint64_t starts = 0;
  for (const auto& [id, endpoint] : world.endpoints)
    starts += endpoint.starts;
  EXPECT_EQ(starts, 2U);
}

// Random kills, restarts, partitions of zones, store outages and pauses in a
// fleet of 30 daemons. No task may have two runs at the same time, and all
// daemons must serve jobs again at the end.
TEST(LargeFleetTest, RandomFaultsCauseNoDuplicateRuns) {
  constexpr int kDaemons = 10;
  for (uint32_t seed = 1; seed <= 4; ++seed) {
    FleetWorld world;
    SetUpZones(world, kDaemons, 6);
    std::mt19937 random(seed);
    std::vector<std::string> ids;
    for (const std::string& zone : kZones) {
      for (int i = 0; i < kDaemons; ++i)
        ids.push_back(zone + std::to_string(i));
    }
    std::set<std::string> killed;
    std::string partitioned_zone;
    std::string daemon_without_store;
    const auto is_in_partition = [&partitioned_zone](const DaemonId& id) {
      return !partitioned_zone.empty() &&
             id.value.compare(0, partitioned_zone.size(), partitioned_zone) ==
                 0;
    };
    world.is_partitioned = [&](const DaemonId& a, const DaemonId& b) {
      return is_in_partition(a) != is_in_partition(b);
    };
    world.is_store_unreachable = [&](const DaemonId& id) {
      return id.value == daemon_without_store || is_in_partition(id);
    };
    int sent = 0;
    for (int round = 0; round < 160; ++round) {
      const std::string chosen = ids[random() % ids.size()];
      if (round % 8 == 0) {
        const uint32_t fault = random() % 6;
        if (fault == 0 && killed.size() < 10 && killed.insert(chosen).second)
          world.KillDaemon(chosen);
        else if (fault == 1 && killed.count(chosen) == 0)
          world.paused_daemons = {chosen};
        else if (fault == 2)
          partitioned_zone = kZones[random() % kZones.size()];
        else if (fault == 3)
          daemon_without_store = chosen;
        else if (fault == 4)
          world.paused_daemons.clear();
        else
          partitioned_zone.clear();
      }
      if (round % 40 == 39) {
        for (const std::string& id : std::set<std::string>(killed))
          world.StartDaemon(id, id.substr(0, id.size() - 1));
        killed.clear();
      }
      const std::string receiver = ids[random() % ids.size()];
      if (killed.count(receiver) == 0 &&
          world.paused_daemons.count(receiver) == 0)
        world.Submit(receiver, "job" + std::to_string(sent++), 1 + random() % 3,
                     {50 + static_cast<int64_t>(random() % 500)});
      world.RunFor({40});
    }
    world.paused_daemons.clear();
    partitioned_zone.clear();
    daemon_without_store.clear();
    for (const std::string& id : killed)
      world.StartDaemon(id, id.substr(0, id.size() - 1));
    world.RunFor({4'000});
    EXPECT_TRUE(world.overlaps.empty()) << "seed " << seed;
    for (const std::string& id : ids) {
      world.Submit(id, "last-" + id, 1, {100});
      world.RunFor({40});
    }
    world.RunFor({600});
    for (const std::string& id : ids)
      EXPECT_EQ(world.results["last-" + id], JobResult::kCompleted)
          << id << " seed " << seed;
  }
}

}  // namespace
}  // namespace dogwoodfall
