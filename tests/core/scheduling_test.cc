#include <gtest/gtest.h>

#include <random>
#include <string>
#include <variant>
#include <vector>

#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_order.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

const EndpointGroup kNorth{ZoneId("north"), 0};

JobResult ResultOf(const SchedulerWorld& world, const std::string& id) {
  const auto found = world.results.find(SubmissionId(id));
  EXPECT_NE(found, world.results.end()) << id << " was not answered";
  return found == world.results.end() ? JobResult::kAbandoned
                                      : found->second.outcome.result;
}

bool IsStart(const EndpointCommand& command) {
  return std::holds_alternative<StartRun>(command.command);
}

// Guards against delays between the steps of scheduling: the job may take at
// most 10 ms longer than its tasks.
TEST(SchedulingTest, JobCompletesWithinItsRunTime) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  world.Submit("job", 4, 7, {200});
  world.Run({300});
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kCompleted);
  EXPECT_LE(world.results[SubmissionId("job")].waited.count, 210);
}

// The jobs need more resources than the endpoint has. A start beyond its
// capacity would be rejected by the endpoint.
TEST(SchedulingTest, StartsNeverExceedEndpointCapacity) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  for (int i = 0; i < 6; ++i)
    world.Submit("job" + std::to_string(i), 3, 7, {60});
  world.Run({600});
  EXPECT_EQ(world.scheduler.counters.start_outcomes[static_cast<size_t>(
                CommandOutcome::kInsufficientResources)],
            0U);
}

// A task that is larger than every endpoint must not wait until its caller's
// time limit.
TEST(SchedulingTest, JobThatFitsNoEndpointIsRefusedImmediately) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 1, 17, {60});
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kRefused);
  EXPECT_EQ(world.endpoints.at(EndpointId("e1")).starts, 0U);
}

// A job that takes longer than its caller waits must be refused without
// starting a task, which would waste resources.
TEST(SchedulingTest, InfeasibleJobIsRefusedImmediately) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 1, 7, {9'000});
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kRefused);
  EXPECT_EQ(world.endpoints.at(EndpointId("e1")).starts, 0U);
}

// A start whose answer is lost may have been executed. The run must be kept
// when the endpoint lists it. A list that was requested before the start
// arrived does not contain the run and is no proof that it has ended.
TEST(SchedulingTest, RunWhoseStartIsUnansweredIsKept) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  world.Submit("first", 1, 7, {400});
  world.Run({50});
  int starts = 0;
  world.is_answer_lost = [&starts](const EndpointCommand& command) {
    return IsStart(command) && starts++ == 0;
  };
  world.Submit("job", 1, 7, {300});
  world.Run({1'000});
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kCompleted);
  EXPECT_LE(world.results[SubmissionId("job")].waited.count, 310);
  EXPECT_EQ(starts, 1);
  EXPECT_TRUE(world.overlaps.empty());
}

// A start is not answered and not listed, because it is executed late. It must
// be stopped before the task is started elsewhere, so that the endpoint rejects
// it when it arrives.
TEST(SchedulingTest, LateStartIsRejectedAfterTheTaskRunsElsewhere) {
  for (int64_t late_ms = 130; late_ms < 450; late_ms += 20) {
    SchedulerWorld world;
    world.AddEndpoint("e1", 16, 1);
    world.AddEndpoint("e2", 16, 1);
    world.Run({20});
    std::vector<EndpointCommand> delayed;
    world.is_command_lost = [&delayed](const EndpointCommand& command) {
      if (!IsStart(command) || !delayed.empty())
        return false;
      delayed.push_back(command);
      return true;
    };
    world.Submit("job", 1, 7, {300});
    world.Run({late_ms});
    ASSERT_EQ(delayed.size(), 1U);
    ExecuteCommand(world.endpoints.at(delayed[0].endpoint), delayed[0], {300},
                   {7'000, 64, 0}, world.now);
    world.Run({1'200});
    EXPECT_EQ(ResultOf(world, "job"), JobResult::kCompleted) << late_ms;
    EXPECT_TRUE(world.overlaps.empty()) << late_ms;
  }
}

// A start that never arrives must not leave its task waiting for a run that
// does not exist.
TEST(SchedulingTest, LostStartIsRetriedElsewhere) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  int lost = 0;
  world.is_command_lost = [&lost](const EndpointCommand& command) {
    return IsStart(command) && lost++ == 0;
  };
  world.Submit("job", 1, 7, {200});
  world.Run({800});
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
}

// The tasks of an endpoint that becomes unresponsive must not be started
// elsewhere before the lease of its runs has expired.
TEST(SchedulingTest, RunsOfUnresponsiveEndpointRestartAfterLeaseExpires) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 1, 7, {600});
  world.Run({100});
  world.AddEndpoint("e2", 16, 1);
  world.is_command_lost = [](const EndpointCommand& command) {
    return command.endpoint == EndpointId("e1");
  };
  world.Run({1'450});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.endpoints.at(EndpointId("e2")).starts, 1U);
}

// The runs of a cancelled job must not keep occupying resources.
TEST(SchedulingTest, CancelledJobStopsItsRuns) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 2, 7, {900});
  world.Run({100});
  EXPECT_EQ(endpoint.running.size(), 2U);
  Actions actions;
  CancelJob(world.scheduler, SubmissionId("job"),
            {DaemonId("d1"), Incarnation(1)}, "test", world.now, actions);
  int stops = 0;
  for (const Action& action : actions) {
    const auto* call = std::get_if<CallEndpoint>(&action);
    if (call != nullptr &&
        std::holds_alternative<StopRun>(call->command.command))
      ++stops;
  }
  EXPECT_EQ(stops, 2);
}

// Close to full load, tasks that only fast endpoints can complete in time must
// not find these endpoints occupied by tasks that any endpoint can run.
TEST(SchedulingTest, FastEndpointsAreReservedForLongJobs) {
  SchedulerWorld world;
  for (int i = 0; i < 2; ++i)
    world.AddEndpoint("fast" + std::to_string(i), 32, 0.55);
  for (int i = 0; i < 6; ++i)
    world.AddEndpoint("slow" + std::to_string(i), 32, 1.2);
  world.Run({20});
  int sent = 0;
  int long_sent = 0;
  for (int round = 0; round < 400; ++round) {
    world.Submit("short" + std::to_string(sent++), 2, 14, {200}, "short");
    if (round % 20 == 19)
      world.Submit("long" + std::to_string(long_sent++), 2, 14, {1'350},
                   "long");
    world.Run({50});
  }
  world.Run({2'000});
  int completed = 0;
  for (int i = 2; i < long_sent; ++i)
    completed +=
        ResultOf(world, "long" + std::to_string(i)) == JobResult::kCompleted;
  // The first two are submitted before the speeds are known.
  EXPECT_GE(completed, (long_sent - 2) * 9 / 10);
  EXPECT_TRUE(world.overlaps.empty());
}

// At half load, a short task must leave the free half of a fast endpoint to the
// long job that comes next: only there can that one be completed in time.
TEST(SchedulingTest, ShortTaskLeavesFastEndpointFreeAtHalfLoad) {
  SchedulerWorld world;
  world.AddEndpoint("fast", 16, 0.55);
  world.AddEndpoint("slow", 16, 1.2);
  world.Run({20});
  for (auto& [id, endpoint] : world.scheduler.endpoints)
    endpoint.slowness = world.endpoints.at(id).slowness;
  JobSubmission busy =
      SchedulerWorld::MakeSubmission("busy", 2, 7, {500}, "busy");
  busy.job.steps[0].max_per_endpoint = 1;
  world.SubmitJob(busy, {500});
  world.Run({40});
  world.Submit("short", 1, 7, {400}, "short");
  world.Run({20});
  world.Submit("long", 1, 7, {1'300}, "long");
  world.Run({1'600});
  EXPECT_EQ(ResultOf(world, "short"), JobResult::kCompleted);
  EXPECT_EQ(ResultOf(world, "long"), JobResult::kCompleted);
  EXPECT_LE(world.results[SubmissionId("long")].waited.count, 800);
}

// A run on an endpoint that has become slow is moved. A run that takes long
// because its job is large must not be moved: it is slow on every endpoint.
TEST(SchedulingTest, StragglersAreMovedAndLargeJobsAreNot) {
  SchedulerWorld world;
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.Run({20});
  for (int i = 0; i < 40; ++i) {
    world.Submit("usual" + std::to_string(i), 4, 7, {100});
    world.Run({120});
  }
  JobSubmission large =
      SchedulerWorld::MakeSubmission("large", 4, 7, {100}, "route");
  world.SubmitJob(large, {280});
  world.Run({400});
  EXPECT_EQ(ResultOf(world, "large"), JobResult::kCompleted);
  EXPECT_EQ(world.scheduler.counters.overdue_runs, 0U);
  world.endpoints.at(EndpointId("e0")).slowness = 8;
  for (int i = 0; i < 4; ++i) {
    world.Submit("after" + std::to_string(i), 6, 7, {100});
    world.Run({500});
    EXPECT_EQ(ResultOf(world, "after" + std::to_string(i)),
              JobResult::kCompleted);
  }
  EXPECT_GT(world.scheduler.counters.overdue_runs, 0U);
  EXPECT_TRUE(world.overlaps.empty());
}

/** Returns the number of failed runs on all endpoints. */
uint64_t CountFailedRuns(const SchedulerWorld& world) {
  return world.scheduler.counters
      .run_results[static_cast<size_t>(RunResult::kFailed)];
}

// An endpoint that fails its runs quickly always has free capacity. Without
// ejection, two such endpoints of twelve would attract most of the load while
// the others are busy, and jobs would use up their attempts.
TEST(SchedulingTest, FailingEndpointsAreEjectedAndRecover) {
  SchedulerWorld world;
  for (int i = 0; i < 12; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.endpoints.at(EndpointId("e3")).fails_all = true;
  world.endpoints.at(EndpointId("e7")).fails_all = true;
  world.Run({20});
  // Four tasks of 150 ms every 33 ms keep 18 of the 20 healthy slots busy.
  int jobs = 0;
  for (; jobs < 200; ++jobs) {
    world.Submit("job" + std::to_string(jobs), 4, 7, {150});
    world.Run({33});
  }
  world.Run({1'500});
  int completed = 0;
  for (const auto& [id, result] : world.results)
    completed += result.outcome.result == JobResult::kCompleted ? 1 : 0;
  EXPECT_EQ(completed, jobs);
  // 6.6 s with two endpoints, each with one trial after 500, 1,000 and then
  // every 2,000 ms.
  EXPECT_LE(CountFailedRuns(world), 24U);

  world.endpoints.at(EndpointId("e3")).fails_all = false;
  world.endpoints.at(EndpointId("e7")).fails_all = false;
  // 21 slots are needed and the other endpoints have 20, so both endpoints get
  // trials and are used again.
  const uint64_t before = world.endpoints.at(EndpointId("e3")).starts;
  for (int i = 0; i < 100; ++i) {
    world.Submit("later" + std::to_string(i), 4, 7, {150});
    world.Run({28});
  }
  EXPECT_GT(world.endpoints.at(EndpointId("e3")).starts, before + 10);
}

// Jobs that fail on every endpoint must not cause ejections.
TEST(SchedulingTest, FailingJobsDoNotEjectEndpoints) {
  SchedulerWorld world;
  for (int i = 0; i < 6; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1).failing_job_prefix =
        "bad";
  world.Run({20});
  for (int i = 0; i < 60; ++i) {
    world.Submit("good" + std::to_string(i), 2, 7, {100});
    if (i % 10 == 0)
      world.Submit("bad" + std::to_string(i), 3, 7, {100});
    world.Run({50});
  }
  EXPECT_EQ(world.scheduler.counters.ejections, 0U);
}

// At twice the load that the endpoints can run, at least 40 % of the jobs must
// end in time, and refused callers must get their answer while they still wait.
TEST(SchedulingTest, OverloadedSchedulerCompletesJobsInTime) {
  SchedulerWorld world;
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.Run({20});
  // 8 tasks of 100 ms run at a time, which is 80 tasks per second; about 160
  // tasks per second are submitted.
  int sent = 0;
  for (int i = 0; i < 400; ++i) {
    world.Submit("job" + std::to_string(sent++), 2, 7, {100});
    world.Run({12});
  }
  world.Run({2'000});
  int in_time = 0;
  for (const auto& [id, result] : world.results) {
    in_time += result.outcome.result == JobResult::kCompleted &&
               result.waited.count <= 220;
    if (result.outcome.result == JobResult::kRefused) {
      EXPECT_LE(result.waited.count, 1'500);
    }
  }
  EXPECT_EQ(world.results.size(), static_cast<size_t>(sent));
  EXPECT_GE(in_time, sent * 4 / 10);
}

// After a change of ownership, runs of the previous owner are claimed by their
// job; runs that no job claims are stopped.
TEST(SchedulingTest, FoundRunsAreClaimedOrStopped) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
  endpoint.lease_until = world.now + Millis{400};
  endpoint.running[{{SubmissionId("known"), 0, 0}, 1}] = {
      world.now, {300}, {7'000, 64, 0}};
  endpoint.running[{{SubmissionId("stranger"), 0, 0}, 1}] = {
      world.now, {1'300}, {7'000, 64, 0}};
  endpoint.max_fencing_token = 4;
  JobSubmission known =
      SchedulerWorld::MakeSubmission("known", 1, 7, {300}, "route");
  known.may_have_started = true;
  world.SubmitJob(known, {300});
  world.Run({600});
  EXPECT_EQ(ResultOf(world, "known"), JobResult::kCompleted);
  EXPECT_EQ(endpoint.starts, 0U);
  EXPECT_TRUE(endpoint.running.empty());
}

// Another scheduler reports a task as done whose run here is being stopped. No
// other task of the step may start beside it.
TEST(SchedulingTest, StoppingRunsCountForTheLimitOfRunsPerEndpoint) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
  endpoint.stop_duration = {100};
  world.Run({20});
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 3, 2, {200}, "route");
  submission.job.steps[0].max_per_endpoint = 1;
  world.SubmitJob(submission, {200});
  world.Run({50});
  ASSERT_EQ(endpoint.running.size(), 1U);
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.done = {{0, endpoint.running.begin()->first.first.index}};
  world.SubmitProgress(progress);
  for (int ms = 0; ms < 800; ++ms) {
    world.Run({1});
    ASSERT_LE(endpoint.running.size(), 1U) << ms;
  }
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kCompleted);
}

// A second, empty progress message from the previous scheduler must not replace
// the first one.
TEST(SchedulingTest, EmptyProgressDoesNotReplaceEarlierProgress) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  FakeEndpoint& previous_endpoint = world.endpoints[EndpointId("hidden")];
  previous_endpoint.entry = world.endpoints.at(EndpointId("e1")).entry;
  previous_endpoint.entry.id = EndpointId("hidden");
  previous_endpoint.max_fencing_token = 3;
  previous_endpoint.lease_until = world.now + Millis{450};
  previous_endpoint.running[{{SubmissionId("job"), 0, 0}, 1}] = {
      world.now, {200}, {7'000, 64, 0}};
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(1), previous_endpoint.entry}};
  Actions actions;
  ApplyJobProgress(world.scheduler, progress, 5, world.now, actions);
  progress.active_runs.clear();
  ApplyJobProgress(world.scheduler, progress, 5, world.now, actions);
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {200}, "route");
  submission.may_have_started = true;
  submission.view_revision = 5;
  world.SubmitJob(submission, {200});
  world.Run({500});
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.endpoints.at(EndpointId("e1")).starts, 0U);
}

// A job is handed over twice, and the second scheduler has not found the runs
// of the first one yet. It must report them to the third one.
TEST(SchedulingTest, ReportedRunsAreReportedAgainUntilFound) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  EndpointEntry unreachable = world.endpoints.at(EndpointId("e1")).entry;
  unreachable.id = EndpointId("dark");
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(3), unreachable}};
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 2, 7, {300}, "route");
  submission.may_have_started = true;
  submission.max_progress_wait = {600};
  Actions actions;
  AcceptJob(world.scheduler, DaemonRef(), kNorth, submission, world.now,
            actions);
  ApplyJobProgress(world.scheduler, progress, 5, world.now, actions);
  const auto job = RemoveJob(world.scheduler, SubmissionId("job"));
  ASSERT_TRUE(job.has_value());
  const JobProgress progress_for_next =
      MakeJobProgress(world.scheduler, *job, world.now);
  ASSERT_EQ(progress_for_next.active_runs.size(), 1U);
  EXPECT_EQ(progress_for_next.active_runs[0].endpoint.id, EndpointId("dark"));
  EXPECT_EQ(progress_for_next.active_runs[0].attempt, Attempt(3));
  EXPECT_EQ(progress_for_next.remaining_wait, Millis());
}

// A job is handed over twice, and the second scheduler has not received the
// progress from the first one yet. What it reports is incomplete, so the third
// one has to wait as well.
TEST(SchedulingTest, NextSchedulerWaitsForOutstandingProgress) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {600}, "route");
  submission.may_have_started = true;
  submission.max_progress_wait = {600};
  Actions actions;
  AcceptJob(world.scheduler, DaemonRef(), kNorth, submission, world.now,
            actions);
  const auto job = RemoveJob(world.scheduler, SubmissionId("job"));
  ASSERT_TRUE(job.has_value());
  const JobProgress progress_for_next =
      MakeJobProgress(world.scheduler, *job, world.now);
  EXPECT_EQ(progress_for_next.remaining_wait, Millis{600});

  submission.max_progress_wait = Millis();
  ApplyJobProgress(world.scheduler, progress_for_next, 5, world.now, actions);
  world.SubmitJob(submission, {600});
  world.Run({500});
  EXPECT_EQ(world.endpoints.at(EndpointId("e1")).starts, 0U);
  JobProgress rest;
  rest.job = SubmissionId("job");
  ApplyJobProgress(world.scheduler, rest, 5, world.now, actions);
  world.Run({30});
  EXPECT_EQ(world.endpoints.at(EndpointId("e1")).starts, 1U);
}

// After a partition, the endpoints of a zone are registered again one by one. A
// job that arrives before them must be refused with a retry delay, not reported
// as failed. A job that may have started elsewhere is kept instead.
TEST(SchedulingTest, JobOfGroupWithoutEndpointsIsRefusedNotFailed) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  const EndpointGroup south{ZoneId("south"), 0};
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("new", 1, 7, {100}, "route");
  Actions actions;
  AcceptJob(world.scheduler, DaemonRef(), south, submission, world.now,
            actions);
  ASSERT_EQ(world.scheduler.finished.size(), 1U);
  EXPECT_EQ(world.scheduler.finished[0].outcome.result, JobResult::kRefused);
  EXPECT_GT(world.scheduler.finished[0].outcome.retry_after, Millis());

  submission.job.id = SubmissionId("handed-over");
  submission.may_have_started = true;
  AcceptJob(world.scheduler, DaemonRef(), south, submission, world.now,
            actions);
  EXPECT_EQ(world.scheduler.jobs.count(submission.job.id), 1U);
}

// An endpoint restarts and gets a task before its restart is noticed. The run
// continues and must not be started elsewhere.
TEST(SchedulingTest, RunStartedAfterEndpointRestartIsNotLost) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  world.Submit("first", 4, 7, {600});
  world.Run({30});
  // It restarts right before the start arrives, which ends its runs.
  const uint64_t before = endpoint.starts;
  world.is_command_lost = [&endpoint](const EndpointCommand& command) {
    if (std::holds_alternative<StartRun>(command.command) &&
        endpoint.started_at_ms != 2) {
      endpoint.running.clear();
      endpoint.closed_attempts.clear();
      endpoint.ended.clear();
      endpoint.last_end_number = 0;
      endpoint.started_at_ms = 2;
    }
    return false;
  };
  EndpointEntry entry = endpoint.entry;
  entry.started_at_ms = 2;
  Actions actions;
  world.Submit("second", 1, 2, {300});
  while (endpoint.starts == before)
    world.Run({1});
  const uint64_t started = endpoint.starts - before;
  UpdateEndpoint(world.scheduler, entry, world.now, actions);
  world.Run({1'300});
  EXPECT_EQ(ResultOf(world, "second"), JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(started, 1U);
}

// Commands on reset connections fail at once. They must not be retried every
// round trip.
TEST(SchedulingTest, FailedCommandsAreRetriedAfterBackoff) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 2, 7, {600});
  world.Run({50});
  world.resetting_endpoints.insert(EndpointId("e1"));
  const uint64_t before = world.command_count;
  world.Run({500});
  // A renewal and two stops every 50 ms, and the commands that were pending.
  EXPECT_LE(world.command_count - before, 36U);
  EXPECT_GE(world.command_count - before, 8U);
}

// An endpoint restarts after its reconciliation and loses its fencing token, so
// the previous owner can start a run on it. When the job of that run is handed
// over, the endpoint must be reconciled again.
TEST(SchedulingTest, ReportedRunRestartsReconciliationOfEndpoint) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
  FakeEndpoint& other = world.AddEndpoint("e2", 16, 1);
  world.Run({100});
  endpoint.started_at_ms = 2;
  endpoint.lease_until = world.now + Millis{450};
  endpoint.running[{{SubmissionId("job"), 0, 0}, 1}] = {
      world.now, {300}, {7'000, 64, 0}};
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {300}, "route");
  submission.may_have_started = true;
  submission.max_progress_wait = {600};
  world.SubmitJob(submission, {300});
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(1), endpoint.entry}};
  world.SubmitProgress(progress);
  world.Run({900});
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(endpoint.starts + other.starts, 0U);
}

// An endpoint in a partitioned zone could not be reconciled for seconds. When a
// job with a run there is handed over, its tasks wait for the reconciliation.
TEST(SchedulingTest, TasksOnUnreconciledEndpointAreNotStartedElsewhere) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  bool is_partitioned = true;
  world.is_command_lost = [&is_partitioned](const EndpointCommand& command) {
    return is_partitioned && command.endpoint == EndpointId("dark");
  };
  FakeEndpoint& unreachable = world.AddEndpoint("dark", 16, 1);
  world.Run({3'000});
  unreachable.lease_until = world.now + Millis{450};
  unreachable.running[{{SubmissionId("job"), 0, 0}, 1}] = {
      world.now, {300}, {7'000, 64, 0}};
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(1), unreachable.entry}};
  Actions actions;
  ApplyJobProgress(world.scheduler, progress, 5, world.now, actions);
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {300}, "route");
  submission.may_have_started = true;
  world.SubmitJob(submission, {300});
  world.Run({50});
  is_partitioned = false;
  world.Run({900});
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
}

// An endpoint is handed over while its job stays here. The run may continue
// there, so the task must not be started elsewhere before the lease has
// expired.
TEST(SchedulingTest, RunOnReleasedEndpointIsNotStartedElsewhere) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 1, 7, {200});
  world.Run({50});
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  ReleaseEndpoint(world.scheduler, EndpointId("e1"), world.now);
  world.Run({400});
  EXPECT_TRUE(world.overlaps.empty());
}

// A run of a task that requires an accelerator and no other resource must not
// be treated as unclaimed, because the lease of unclaimed runs is not renewed.
TEST(SchedulingTest, AcceleratorOnlyTaskKeepsItsLease) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
  endpoint.entry.capacity.accelerators = 1;
  Actions actions;
  UpdateEndpoint(world.scheduler, endpoint.entry, world.now, actions);
  world.Run({20});
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 0, {900}, "route");
  submission.job.steps[0].resources = {0, 0, 1};
  world.SubmitJob(submission, {900});
  world.Run({1'000});
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kCompleted);
  EXPECT_EQ(endpoint.starts, 1U);
}

// kRefused guarantees that nothing has run. A scheduler cannot guarantee this
// for a job that a previous scheduler may have started.
TEST(SchedulingTest, JobThatMayHaveStartedIsNeverRefused) {
  SchedulerWorld world;
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {200}, "route");
  submission.may_have_started = true;
  world.SubmitJob(submission, {200});
  // Endpoints may be registered soon. The job is abandoned once it would be too
  // late for them, before the caller stops waiting.
  world.Run({300});
  EXPECT_EQ(world.results.count(SubmissionId("job")), 0U);
  world.Run({1'150});
  EXPECT_EQ(ResultOf(world, "job"), JobResult::kAbandoned);
}

// All tasks of a job must run on endpoints of its group, because a group is
// handed over together with its jobs.
TEST(SchedulingTest, JobsOfAnotherGroupDoNotUseEndpoints) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  Actions actions;
  AcceptJob(world.scheduler, {DaemonId("d1"), Incarnation(1)},
            {ZoneId("south"), 0},
            SchedulerWorld::MakeSubmission("job", 1, 7, {100}, "route"),
            world.now, actions);
  for (const Action& action : actions)
    EXPECT_FALSE(std::holds_alternative<CallEndpoint>(action));
}

// With random losses of commands and answers and unreachable endpoints, no task
// may have two runs at a time, and every caller must get an answer.
TEST(SchedulingTest, NoTaskRunsTwiceUnderRandomLosses) {
  for (uint32_t seed = 1; seed <= 12; ++seed) {
    SchedulerWorld world;
    std::mt19937 random(seed);
    for (int i = 0; i < 6; ++i)
      world.AddEndpoint("e" + std::to_string(i), i % 2 == 0 ? 16 : 24,
                        i % 3 == 0 ? 1.7 : 0.7);
    world.Run({20});
    int unreachable = -1;
    world.is_answer_lost = [&random](const EndpointCommand&) {
      return random() % 40 == 0;
    };
    world.is_command_lost = [&random,
                             &unreachable](const EndpointCommand& command) {
      return command.endpoint.value == "e" + std::to_string(unreachable) ||
             random() % 40 == 0;
    };
    int sent = 0;
    for (int round = 0; round < 300; ++round) {
      if (round % 60 == 0)
        unreachable = static_cast<int>(random() % 8);
      world.Submit("job" + std::to_string(sent++), 1 + random() % 6,
                   5 + random() % 5,
                   {40 + static_cast<int64_t>(random() % 400)});
      world.Run({25});
    }
    world.Run({2'500});
    EXPECT_TRUE(world.overlaps.empty()) << "seed " << seed;
    EXPECT_EQ(world.results.size(), static_cast<size_t>(sent))
        << "seed " << seed;
  }
}

// A job that is already late must not go before one that can still meet its
// objective, or both would be late.
TEST(JobOrderTest, JobsSortBySlackWithLateJobsLast) {
  ScheduledJob short_slack;
  short_slack.job.id = SubmissionId("short-slack");
  short_slack.latest_start = {100};
  ScheduledJob long_slack;
  long_slack.job.id = SubmissionId("long-slack");
  long_slack.latest_start = {500};
  EXPECT_LT(MakeOrderKey(short_slack, {50}), MakeOrderKey(long_slack, {50}));
  EXPECT_LT(MakeOrderKey(long_slack, {200}), MakeOrderKey(short_slack, {200}));
}

}  // namespace
}  // namespace dogwoodfall
