#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "churn_scenario.h"

namespace dogwoodfall {
namespace {

ChurnCaller& SendJob(ChurnScenario& scenario, const std::string& job) {
  const std::string daemon = scenario.DrawReadyDaemon();
  JobShape shape;
  shape.task_count = static_cast<uint32_t>(scenario.Draw(1, 4));
  shape.run_time = {scenario.Draw(60, 700)};
  return scenario.Submit(daemon, job, shape);
}

/** Plays callers of daemons that join one after the other, and returns the
 * tasks that had two runs at the same time.
 *
 * @param stop_duration time from a stop command to the end of the run
 */
std::set<JobTask> PlayJoiningDaemons(uint32_t seed, Millis stop_duration) {
  ChurnOptions options;
  options.stop_duration = stop_duration;
  ChurnScenario scenario(seed, options);
  const Millis end = scenario.world.now + Millis{7'500};
  int job_count = 0;
  while (scenario.world.now < end) {
    scenario.StartDaemons();
    for (const std::string& job : scenario.UpdateCallers())
      SendJob(scenario, job);
    if (!scenario.ready_daemons.empty() && scenario.Draw(0, 4) == 0) {
      ChurnCaller& caller =
          SendJob(scenario, "job" + std::to_string(++job_count));
      if (scenario.Draw(0, 3) == 0)
        scenario.LetCallerLeave(caller);
    }
    scenario.world.RunFor({5});
  }
  return scenario.world.overlaps;
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
