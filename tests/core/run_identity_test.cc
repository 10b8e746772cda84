#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

const EndpointGroup kNorth{ZoneId("north"), 0};
const DaemonRef kReceiver{DaemonId("d1"), Incarnation(1)};

JobTask TaskOf(const std::string& job, uint32_t index) {
  return {SubmissionId(job), 0, index};
}

/** Adds an endpoint that still lists the end of a run, as seen by a daemon that
 * has just taken ownership of it.
 */
FakeEndpoint& AddEndpointWithEnd(SchedulerWorld& world,
                                 const std::string& id,
                                 const JobTask& task,
                                 RunResult result) {
  FakeEndpoint& endpoint = world.endpoints[EndpointId(id)];
  endpoint.last_end_number = 1;
  endpoint.ended.push_back({1, task, Attempt(1), result});
  endpoint.closed_attempts[task] = 1;
  return world.AddEndpoint(id, 16, 1);
}

// A job is sent again, and the attempts of its tasks count from 1 again. An
// endpoint that is taken over lists the end of attempt 1 of the earlier
// submission while attempt 1 of the new one runs elsewhere. The task must not
// be started a second time.
TEST(RunIdentityTest, EndOfAnEarlierSubmissionsRunDoesNotRequeueTheTask) {
  for (const RunResult result :
       {RunResult::kStopped, RunResult::kLeaseEnded, RunResult::kFailed}) {
    SchedulerWorld world;
    FakeEndpoint& first = world.AddEndpoint("e1", 16, 1);
    world.Run({20});
    world.Submit("job", 1, 7, {600});
    world.Run({50});
    FakeEndpoint& second =
        AddEndpointWithEnd(world, "e2", TaskOf("job", 0), result);
    world.Run({800});
    EXPECT_TRUE(world.overlaps.empty()) << NameOf(result);
    EXPECT_EQ(first.starts + second.starts, 1U) << NameOf(result);
    EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
              JobResult::kCompleted);
  }
}

// The earlier submission's run has succeeded, so the task is done. Its run of
// the new submission must not go on for nothing.
TEST(RunIdentityTest, SuccessOfAnEarlierSubmissionsRunStopsTheCurrentRun) {
  SchedulerWorld world;
  FakeEndpoint& first = world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 2, 7, {600});
  world.Run({50});
  AddEndpointWithEnd(world, "e2", TaskOf("job", 0), RunResult::kDone);
  world.Run({50});
  ASSERT_EQ(first.running.size(), 1U);
  EXPECT_EQ(first.running.begin()->first.first, TaskOf("job", 1));
  world.Run({700});
  EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
            JobResult::kCompleted);
}

// A run of the earlier submission that is found on an endpoint fails before it
// can be stopped. The failure must not use up an attempt of the task, whose
// current run is sound.
TEST(RunIdentityTest, FailureOfAnEarlierSubmissionsRunUsesNoAttempt) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {600}, "route");
  submission.job.max_attempts = 1;
  world.SubmitJob(submission, {600});
  world.Run({50});
  FakeEndpoint& second = world.endpoints[EndpointId("e2")];
  second.lease_until = world.now + Millis{400};
  second.running[{TaskOf("job", 0), 1}] = {
      world.now, {60}, {7'000, 64, 0}, RunResult::kFailed};
  world.is_command_lost = [](const EndpointCommand& command) {
    return std::holds_alternative<StopRun>(command.command);
  };
  world.AddEndpoint("e2", 16, 1);
  world.Run({800});
  EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
            JobResult::kCompleted);
}

/** Submits a job that was handed over, with one reported run on an endpoint
 * that this scheduler does not know, and adds that endpoint to the world.
 */
FakeEndpoint& SubmitWithReportedRun(SchedulerWorld& world) {
  FakeEndpoint& endpoint = world.endpoints[EndpointId("foreign")];
  endpoint.entry = world.endpoints.at(EndpointId("e1")).entry;
  endpoint.entry.id = EndpointId("foreign");
  endpoint.lease_until = world.now + Millis{800};
  endpoint.running[{TaskOf("job", 0), 1}] = {
      world.now, {600}, {7'000, 64, 0}, RunResult::kDone};
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {600}, "route");
  submission.may_have_started = true;
  submission.job.time_left = {4'000};
  submission.job.target_latency = {4'000};
  submission.max_progress_wait = {600};
  world.SubmitJob(submission, {600});
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(1), endpoint.entry}};
  world.SubmitProgress(progress);
  return endpoint;
}

// A job is handed over with a run on an endpoint that another daemon owns. That
// owner's higher token keeps this scheduler from listing the run. The task must
// not be started before the run's lease has surely ended.
TEST(RunIdentityTest, ReportedRunOnFencedEndpointBlocksItsTask) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.endpoints[EndpointId("foreign")].max_fencing_token = 99;
  SubmitWithReportedRun(world);
  world.Run({3'000});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
            JobResult::kCompleted);
}

// The endpoint was fenced before the report of the run arrived.
TEST(RunIdentityTest, ReportedRunOnFormerEndpointBlocksItsTask) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.endpoints[EndpointId("foreign")].max_fencing_token = 99;
  world.AddEndpoint("foreign", 16, 1);
  world.Run({20});
  ASSERT_EQ(world.scheduler.endpoints.at(EndpointId("foreign")).status,
            EndpointStatus::kFenced);
  SubmitWithReportedRun(world);
  world.Run({3'000});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
            JobResult::kCompleted);
}

// The same endpoint is released, because the view has changed, before its runs
// are listed.
TEST(RunIdentityTest, ReportedRunOnReleasedEndpointBlocksItsTask) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  SubmitWithReportedRun(world);
  ReleaseEndpoint(world.scheduler, EndpointId("foreign"), world.now);
  world.Run({3'000});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
            JobResult::kCompleted);
}

// The endpoint of a reported run never answers. It must not be polled for ever
// after the lease of the run has ended, and the task must be started then.
TEST(RunIdentityTest, SilentEndpointOfAReportedRunIsReleasedAfterTheLease) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.is_command_lost = [](const EndpointCommand& command) {
    return command.endpoint == EndpointId("foreign");
  };
  SubmitWithReportedRun(world);
  world.Run({3'000});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.scheduler.endpoints.count(EndpointId("foreign")), 0U);
  EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
            JobResult::kCompleted);
}

// The endpoint of a reported run belongs to another group of this daemon, as
// the groups have changed since the run was started. While it does not answer,
// the task must wait for it, although all endpoints of the job's own group are
// known.
TEST(RunIdentityTest, ReportedRunInAnotherGroupBlocksItsTask) {
  for (int64_t silence_ms = 0; silence_ms <= 500; silence_ms += 50) {
    SchedulerWorld world;
    world.AddEndpoint("e1", 16, 1);
    FakeEndpoint& other = world.AddEndpoint("e2", 16, 1);
    world.Run({20});
    world.scheduler.endpoints.at(EndpointId("e2")).group = {ZoneId("north"), 1};
    other.lease_until = world.now + Millis{900};
    other.running[{TaskOf("job", 0), 1}] = {
        world.now, {700}, {7'000, 64, 0}, RunResult::kDone};
    const Millis silent_until = world.now + Millis{silence_ms};
    world.is_command_lost = [&world,
                             silent_until](const EndpointCommand& command) {
      return command.endpoint == EndpointId("e2") && world.now < silent_until;
    };
    JobSubmission submission =
        SchedulerWorld::MakeSubmission("job", 1, 7, {700}, "route");
    submission.may_have_started = true;
    submission.job.time_left = {4'000};
    submission.job.target_latency = {4'000};
    submission.max_progress_wait = {600};
    world.SubmitJob(submission, {700});
    JobProgress progress;
    progress.job = SubmissionId("job");
    progress.active_runs = {{0, 0, Attempt(1), other.entry}};
    world.SubmitProgress(progress);
    world.Run({3'000});
    EXPECT_TRUE(world.overlaps.empty()) << silence_ms;
    EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
              JobResult::kCompleted)
        << silence_ms;
  }
}

// Progress without runs comes from a daemon that had the job earlier.
TEST(RunIdentityTest, LateProgressDoesNotEndTheWaitForAReleasedEndpoint) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 1, 7, {600});
  world.Run({50});
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  ReleaseEndpoint(world.scheduler, EndpointId("e1"), world.now);
  JobProgress progress;
  progress.job = SubmissionId("job");
  world.SubmitProgress(progress);
  world.Run({600});
  EXPECT_TRUE(world.overlaps.empty());
}

// The job has a run here, and another one that only an earlier scheduler knows.
TEST(RunIdentityTest, FoundRunDoesNotEndTheWaitForFurtherProgress) {
  SchedulerWorld world;
  FakeEndpoint& first = world.endpoints[EndpointId("e1")];
  first.lease_until = world.now + Millis{800};
  first.running[{TaskOf("job", 0), 1}] = {
      world.now, {600}, {7'000, 64, 0}, RunResult::kDone};
  world.AddEndpoint("e1", 7, 1);
  world.AddEndpoint("e2", 16, 1);
  FakeEndpoint& foreign = world.endpoints[EndpointId("foreign")];
  foreign.entry = first.entry;
  foreign.entry.id = EndpointId("foreign");
  foreign.lease_until = world.now + Millis{800};
  foreign.running[{TaskOf("job", 1), 1}] = {
      world.now, {600}, {7'000, 64, 0}, RunResult::kDone};
  world.Run({20});
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 2, 7, {600}, "route");
  submission.may_have_started = true;
  submission.max_progress_wait = {100};
  world.SubmitJob(submission, {600});
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.remaining_wait = {600};
  world.SubmitProgress(progress);
  world.Run({300});
  progress.remaining_wait = {};
  progress.active_runs = {{0, 1, Attempt(1), foreign.entry}};
  world.SubmitProgress(progress);
  world.Run({600});
  EXPECT_TRUE(world.overlaps.empty());
}

// The next owner renews the lease of all runs until it has stopped this one.
TEST(RunIdentityTest, RunOnAFencedEndpointThatItsNextOwnerRenewsIsNotRepeated) {
  SchedulerWorld world;
  FakeEndpoint& fenced = world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {2'000}, "route");
  submission.job.time_left = {10'000};
  world.SubmitJob(submission, {2'000});
  world.Run({50});
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  ++fenced.max_fencing_token;
  fenced.lease_until = world.now + Millis{900};
  world.Run({2'000});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.endpoints.at(EndpointId("e2")).starts, 1U);
}

/** Returns the id of the first start among actions. */
CommandId FindStart(const Actions& actions) {
  for (const Action& action : actions) {
    const auto* call = std::get_if<CallEndpoint>(&action);
    if (call != nullptr &&
        std::holds_alternative<StartRun>(call->command.command))
      return call->command.id;
  }
  return {};
}

// The answer to a start of the earlier submission arrives late, when the same
// task has been started on the same endpoint again. It must not count as the
// answer to the second start.
TEST(RunIdentityTest, LateAnswerToAnEarlierStartIsIgnored) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {600}, "route");
  submission.sent_at = world.now;
  Actions actions;
  ManagedEndpoint& endpoint = world.scheduler.endpoints.at(EndpointId("e1"));
  endpoint.clock_read_at = world.now;  // It has just answered.
  AcceptJob(world.scheduler, kReceiver, kNorth, submission, world.now, actions);
  const CommandId earlier_start = FindStart(actions);
  ASSERT_NE(earlier_start, CommandId());
  EndJob(world.scheduler, SubmissionId("job"), {JobResult::kAbandoned, {}, ""},
         world.now, actions);
  endpoint.runs.clear();
  endpoint.used = TaskResources();
  actions.clear();
  AcceptJob(world.scheduler, kReceiver, kNorth, submission, world.now, actions);
  ASSERT_NE(FindStart(actions), CommandId());
  EndpointReply late;
  late.id = earlier_start;
  late.outcome = CommandOutcome::kInsufficientResources;
  late.clock = world.now;
  actions.clear();
  HandleEndpointReply(world.scheduler, late, world.now, actions);
  EXPECT_EQ(endpoint.runs.size(), 1U);
  EXPECT_EQ(FindStart(actions), CommandId());
}

}  // namespace
}  // namespace dogwoodfall
