#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "core/fleet/fleet_view.h"
#include "core/fleet/ownership_flow.h"
#include "core/scheduling/spillover.h"
#include "fleet_world.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

constexpr Millis kStopDuration{50};

FakeEndpoint& AddUnguardedEndpoint(SchedulerWorld& world,
                                   const std::string& id) {
  FakeEndpoint& endpoint = world.AddEndpoint(id, 16, 1);
  endpoint.checks_admission = false;
  endpoint.stop_duration = kStopDuration;
  return endpoint;
}

JobSubmission MakePatientSubmission(const std::string& id,
                                    int64_t cores,
                                    Millis run_time) {
  JobSubmission submission =
      SchedulerWorld::MakeSubmission(id, 1, cores, run_time, "route");
  submission.job.time_left = {4'000};
  submission.job.target_latency = {4'000};
  return submission;
}

JobOutcome OutcomeOf(const SchedulerWorld& world, const std::string& id) {
  const auto found = world.results.find(SubmissionId(id));
  EXPECT_NE(found, world.results.end()) << id << " was not answered";
  return found == world.results.end() ? JobOutcome() : found->second.outcome;
}

// The lease of a run that requests no resources must be renewed as any other.
TEST(EndpointCapacityTest, RunWithoutResourcesIsNotTakenForAnUnclaimedOne) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = AddUnguardedEndpoint(world, "e1");
  world.Run({20});
  JobSubmission submission = MakePatientSubmission("job", 0, {900});
  submission.job.steps[0].resources = TaskResources();
  world.SubmitJob(submission, {900});
  world.Run({1'500});
  EXPECT_EQ(endpoint.starts, 1U);
  EXPECT_EQ(OutcomeOf(world, "job").result, JobResult::kCompleted);
}

}  // namespace
}  // namespace dogwoodfall
