#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet_world.h"

namespace dogwoodfall {
namespace {

struct Caller {
  std::string daemon;
  CallerToken token;
  std::string job;
  Millis leaves_at;
  Millis repeats_at;
};

/** Plays callers of daemons that join one after the other, and returns the
 * tasks that had two runs at the same time.
 *
 * @param stop_duration time from a stop command to the end of the run
 */
std::set<JobTask> PlayJoiningDaemons(uint32_t seed, Millis stop_duration) {
  constexpr int kDaemonsPerZone = 10;
  constexpr Millis kRetransmitAfter{1'300};
  FleetWorld world;
  std::mt19937 random(seed);
  const auto draw = [&random](int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random);
  };
  std::map<DaemonId, Millis> store_delays;
  world.store_delay = [&](const DaemonId& id) { return store_delays[id]; };
  std::map<std::pair<DaemonId, DaemonId>, Millis> last_arrivals;
  world.message_delay = [&](const DaemonId& from, const DaemonId& to) {
    Millis& arrival = last_arrivals[{from, to}];
    const Millis delay{draw(0, 9) == 0 ? draw(0, 40) : 0};
    arrival = std::max(arrival, world.now + delay);
    return arrival - world.now;
  };
  std::vector<std::pair<Millis, std::string>> joins;
  for (const char* zone : {"north", "south"}) {
    for (int i = 0; i < kDaemonsPerZone; ++i) {
      const std::string id = std::string(zone) + std::to_string(i);
      store_delays[DaemonId(id)] = Millis{draw(0, 3) == 0 ? draw(0, 300) : 0};
      joins.emplace_back(world.now + Millis{i < 2 ? 0 : 3'000 + draw(0, 2'500)},
                         id);
    }
    for (int i = 0; i < 12; ++i)
      world.AddEndpoint(std::string(zone) + "-e" + std::to_string(i), zone);
  }
  for (auto& [id, endpoint] : world.endpoints)
    endpoint.stop_duration = stop_duration;
  std::vector<Caller> callers;
  const Millis end = world.now + Millis{7'500};
  int jobs = 0;
  while (world.now < end) {
    std::vector<std::string> running;
    for (const auto& [at, id] : joins) {
      if (at <= world.now && !world.IsRunning(id))
        world.StartDaemon(id, id.substr(0, 5));
      if (at + Millis{400} <= world.now)
        running.push_back(id);
    }
    std::vector<Caller> repeats;
    for (Caller& caller : callers) {
      if (caller.leaves_at <= world.now && caller.token != CallerToken()) {
        world.Disconnect(caller.daemon, caller.token);
        caller.token = CallerToken();
      }
      if (caller.repeats_at <= world.now) {
        caller.repeats_at = Millis{INT64_MAX};
        repeats.push_back(caller);
      }
    }
    const auto submit = [&](const std::string& job) {
      const std::string daemon =
          running[static_cast<size_t>(draw(0, int64_t(running.size()) - 1))];
      const CallerToken token = world.Submit(
          daemon, job, static_cast<uint32_t>(draw(1, 4)), {draw(60, 700)});
      return Caller{daemon, token, job, Millis{INT64_MAX}, Millis{INT64_MAX}};
    };
    for (const Caller& repeat : repeats)
      callers.push_back(submit(repeat.job));
    if (!running.empty() && draw(0, 4) == 0) {
      callers.push_back(submit("job" + std::to_string(++jobs)));
      if (draw(0, 3) == 0) {
        callers.back().leaves_at = world.now + Millis{draw(0, 300)};
        callers.back().repeats_at = callers.back().leaves_at + kRetransmitAfter;
      }
    }
    world.RunFor({5});
  }
  return world.overlaps;
}

// Each join changes the groups and their owners, so that jobs change hands.
TEST(MembershipChurnTest, JoiningDaemonsCauseNoDuplicateRuns) {
  std::vector<uint32_t> seeds = {218, 263, 323, 809};
  for (uint32_t seed = 1; seed <= 20; ++seed)
    seeds.push_back(seed);
  for (const uint32_t seed : seeds)
    EXPECT_TRUE(PlayJoiningDaemons(seed, {}).empty()) << seed;
}

// A run that is being stopped is still active.
TEST(MembershipChurnTest, JoiningDaemonsCauseNoDuplicateRunsWhileRunsStop) {
  for (const uint32_t seed : {1, 2, 3, 24})
    EXPECT_TRUE(PlayJoiningDaemons(seed, {45}).empty()) << seed;
}

}  // namespace
}  // namespace dogwoodfall
