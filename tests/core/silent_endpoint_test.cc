#include <gtest/gtest.h>

#include <string>

#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

// A run is claimed on an endpoint that then stops answering before all of its
// runs are reconciled. Its task must be started elsewhere once the lease has
// expired, neither before nor only at the caller's time limit.
TEST(SilentEndpointTest, RunOnSilentUnreconciledEndpointRestartsAfterItsLease) {
  SchedulerWorld world;
  FakeEndpoint& silent = world.endpoints[EndpointId("e1")];
  silent.lease_until = world.now + Millis{450};
  for (const char* job : {"claimed", "stranger"})
    silent.running[{{SubmissionId(job), 0, 0}, 1}] = {
        world.now, {5'000}, {7'000, 64, 0}};
  bool is_silent = false;
  world.is_command_lost = [&is_silent](const EndpointCommand& command) {
    return is_silent && command.endpoint == EndpointId("e1");
  };
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("claimed", 1, 7, {300}, "route");
  submission.may_have_started = true;
  submission.job.time_left = {6'000};
  submission.job.target_latency = {6'000};
  world.SubmitJob(submission, {300});
  world.AddEndpoint("e1", 16, 1);
  world.Run({10});
  ASSERT_TRUE(
      HasReconcilingEndpoint(world.scheduler, {ZoneId("north"), 0}, world.now));
  FakeEndpoint& other = world.AddEndpoint("e2", 16, 1);
  is_silent = true;
  world.Run({2'500});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(other.starts, 1U);
  EXPECT_EQ(world.results[SubmissionId("claimed")].outcome.result,
            JobResult::kCompleted);
}

// An endpoint is silent for less than the lease of its runs. The runs go on
// there, so they must be neither given up nor started elsewhere.
TEST(SilentEndpointTest, RunsSurviveASilenceShorterThanTheirLease) {
  for (int64_t silence_ms = 20; silence_ms <= 300; silence_ms += 20) {
    SchedulerWorld world;
    FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
    FakeEndpoint& other = world.AddEndpoint("e2", 16, 1.1);
    world.Run({20});
    bool is_silent = false;
    world.is_answer_lost = [&is_silent](const EndpointCommand&) {
      return is_silent;
    };
    world.Submit("job", 1, 7, {900});
    world.Run({100});
    is_silent = true;
    world.Run({silence_ms});
    is_silent = false;
    world.Run({1'300});
    EXPECT_EQ(endpoint.starts + other.starts, 1U) << silence_ms;
    EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
              JobResult::kCompleted)
        << silence_ms;
  }
}

// An endpoint is silent for any time up to several leases, with commands and
// answers lost. A task must never run there and elsewhere at the same time.
TEST(SilentEndpointTest, NoTaskRunsTwiceAfterAnySilence) {
  for (int64_t silence_ms = 50; silence_ms <= 2'500; silence_ms += 75) {
    for (const bool is_command_lost : {false, true}) {
      SchedulerWorld world;
      world.AddEndpoint("e1", 16, 1);
      world.Run({20});
      bool is_silent = false;
      const auto is_lost = [&is_silent](const EndpointCommand& command) {
        return is_silent && command.endpoint == EndpointId("e1");
      };
      if (is_command_lost)
        world.is_command_lost = is_lost;
      else
        world.is_answer_lost = is_lost;
      JobSubmission submission =
          SchedulerWorld::MakeSubmission("job", 2, 7, {800}, "route");
      submission.job.time_left = {6'000};
      submission.job.target_latency = {6'000};
      world.SubmitJob(submission, {800});
      world.Run({100});
      world.AddEndpoint("e2", 16, 1);
      is_silent = true;
      world.Run({silence_ms});
      is_silent = false;
      world.Run({3'000});
      EXPECT_TRUE(world.overlaps.empty()) << silence_ms;
      EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
                JobResult::kCompleted)
          << silence_ms;
    }
  }
}

}  // namespace
}  // namespace dogwoodfall
