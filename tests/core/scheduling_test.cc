#include <gtest/gtest.h>

#include <random>
#include <string>
#include <variant>

#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_order.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

const EndpointGroup kNorth{ZoneId("north"), 0};

JobResult EndOf(const SchedulerWorld& world, const std::string& id) {
  const auto found = world.results.find(SubmissionId(id));
  EXPECT_NE(found, world.results.end()) << id << " was not answered";
  return found == world.results.end() ? JobResult::kAbandoned
                                      : found->second.outcome.end;
}

bool IsStart(const EndpointCommand& command) {
  return std::holds_alternative<StartRun>(command.command);
}

TEST(SchedulingTest, AJobIsDoneInItsRunTime) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  world.Submit("job", 4, 7, {200});
  world.Run({300});
  EXPECT_EQ(EndOf(world, "job"), JobResult::kCompleted);
  EXPECT_LE(world.results[SubmissionId("job")].waited.count, 210);
}

TEST(SchedulingTest, NothingStartsBeyondTheRoom) {
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

TEST(SchedulingTest, AJobThatFitsNoEndpointFailsAtOnce) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 1, 17, {60});
  EXPECT_EQ(EndOf(world, "job"), JobResult::kFailed);
}

TEST(SchedulingTest, WhatCanNotBeInTimeIsRefusedAtOnce) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 1, 7, {9'000});
  EXPECT_EQ(EndOf(world, "job"), JobResult::kRefused);
  EXPECT_EQ(world.endpoints.at(EndpointId("e1")).starts, 0U);
}

// A start whose answer is lost may run. The list that was asked for before the
// start arrived does not show it, and must not count as proof that it is gone.
TEST(SchedulingTest, AStartWithoutAnswerIsStoppedBeforeItRunsElsewhere) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  world.Submit("first", 1, 7, {400});
  world.Run({50});
  int lost = 0;
  world.loses_answer = [&lost](const EndpointCommand& command) {
    return IsStart(command) && lost++ == 0;
  };
  world.Submit("job", 1, 7, {300});
  world.Run({1'000});
  EXPECT_EQ(EndOf(world, "job"), JobResult::kCompleted);
  EXPECT_EQ(lost, 2);
  EXPECT_TRUE(world.overlaps.empty());
}

TEST(SchedulingTest, AStartThatNeverArrivedRunsElsewhere) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  int lost = 0;
  world.loses_order = [&lost](const EndpointCommand& command) {
    return IsStart(command) && lost++ == 0;
  };
  world.Submit("job", 1, 7, {200});
  world.Run({800});
  EXPECT_EQ(EndOf(world, "job"), JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
}

// An endpoint that falls silent with runs: they are started elsewhere only
// after its lease has ended.
TEST(SchedulingTest, RunsOfASilentEndpointWaitForTheEndOfTheLease) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 1, 7, {600});
  world.Run({100});
  world.AddEndpoint("e2", 16, 1);
  world.loses_order = [](const EndpointCommand& command) {
    return command.endpoint == EndpointId("e1");
  };
  world.Run({1'450});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.endpoints.at(EndpointId("e2")).starts, 1U);
}

TEST(SchedulingTest, ACancelledJobIsStopped) {
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

// Load near the room: tasks that can be in time on fast endpoints only must
// not find them taken by tasks that any endpoint serves.
TEST(SchedulingTest, LongJobsGetTheFastEndpoints) {
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
  int served = 0;
  for (int i = 2; i < long_sent; ++i)
    served += EndOf(world, "long" + std::to_string(i)) == JobResult::kCompleted;
  // The first two are sent before the speeds are known.
  EXPECT_GE(served, (long_sent - 2) * 9 / 10);
  EXPECT_TRUE(world.overlaps.empty());
}

// A run that lags on an endpoint that has turned slow is moved; a job that is
// large by itself is left where it is.
TEST(SchedulingTest, LaggardsAreMovedAndLargeJobsAreNot) {
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
  EXPECT_EQ(EndOf(world, "large"), JobResult::kCompleted);
  EXPECT_EQ(world.scheduler.counters.overdue_runs, 0U);
  world.endpoints.at(EndpointId("e0")).slowness = 8;
  for (int i = 0; i < 4; ++i) {
    world.Submit("after" + std::to_string(i), 6, 7, {100});
    world.Run({500});
    EXPECT_EQ(EndOf(world, "after" + std::to_string(i)), JobResult::kCompleted);
  }
  EXPECT_GT(world.scheduler.counters.overdue_runs, 0U);
  EXPECT_TRUE(world.overlaps.empty());
}

// Twice the load there is room for: those that are served are in time, and the
// rest learns early that it is not.
/** Ends of runs that failed, of all endpoints. */
uint64_t FailedRuns(const SchedulerWorld& world) {
  return world.scheduler.counters
      .run_results[static_cast<size_t>(RunResult::kFailed)];
}

// An endpoint that fails fast always has room: two of twelve would draw most of
// a load that keeps the others busy, and jobs would use up their attempts.
TEST(SchedulingTest, EndpointsThatFailAllGetLittleOfTheLoad) {
  SchedulerWorld world;
  for (int i = 0; i < 12; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.endpoints.at(EndpointId("e3")).fails_all = true;
  world.endpoints.at(EndpointId("e7")).fails_all = true;
  world.Run({20});
  // Four tasks of 150 ms each 33 ms keep 18 of the 20 sound places busy.
  int jobs = 0;
  for (; jobs < 200; ++jobs) {
    world.Submit("job" + std::to_string(jobs), 4, 7, {150});
    world.Run({33});
  }
  world.Run({1'500});
  int completed = 0;
  for (const auto& [id, result] : world.results)
    completed += result.outcome.end == JobResult::kCompleted ? 1 : 0;
  EXPECT_EQ(completed, jobs);
  // 6.6 s with two endpoints, one trial each 500, 1,000, and then 2,000 ms.
  EXPECT_LE(FailedRuns(world), 24U);

  world.endpoints.at(EndpointId("e3")).fails_all = false;
  world.endpoints.at(EndpointId("e7")).fails_all = false;
  // 21 places are needed of 20 sound ones, so both are tried and used again.
  const uint64_t before = world.endpoints.at(EndpointId("e3")).starts;
  for (int i = 0; i < 100; ++i) {
    world.Submit("later" + std::to_string(i), 4, 7, {150});
    world.Run({28});
  }
  EXPECT_GT(world.endpoints.at(EndpointId("e3")).starts, before + 10);
}

// Jobs that fail wherever they run say nothing of the endpoints.
TEST(SchedulingTest, JobsThatAlwaysFailEjectNoEndpoint) {
  SchedulerWorld world;
  for (int i = 0; i < 6; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1).failing_jobs = "bad";
  world.Run({20});
  for (int i = 0; i < 60; ++i) {
    world.Submit("good" + std::to_string(i), 2, 7, {100});
    if (i % 10 == 0)
      world.Submit("bad" + std::to_string(i), 3, 7, {100});
    world.Run({50});
  }
  EXPECT_EQ(world.scheduler.counters.ejections, 0U);
}

TEST(SchedulingTest, BeyondTheRoomHalfIsServedInTime) {
  SchedulerWorld world;
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.Run({20});
  // 8 tasks of 100 ms fit at a time: 80 a second; 160 are sent.
  int sent = 0;
  for (int i = 0; i < 400; ++i) {
    world.Submit("job" + std::to_string(sent++), 2, 7, {100});
    world.Run({12});
  }
  world.Run({2'000});
  int in_time = 0;
  for (const auto& [id, result] : world.results) {
    in_time += result.outcome.end == JobResult::kCompleted &&
               result.waited.count <= 220;
    if (result.outcome.end == JobResult::kRefused) {
      EXPECT_LE(result.waited.count, 1'500);
    }
  }
  EXPECT_EQ(world.results.size(), static_cast<size_t>(sent));
  EXPECT_GE(in_time, sent * 4 / 10);
}

// A takeover: runs that the former owner left are claimed by their job, and
// what nobody claims is stopped.
TEST(SchedulingTest, RunsThatAreFoundAreClaimedOrStopped) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
  endpoint.lease_until = world.now + Millis{400};
  endpoint.running[{{SubmissionId("known"), 0, 0}, 1}] = {
      world.now, {300}, {7'000, 64, 0}};
  endpoint.running[{{SubmissionId("stranger"), 0, 0}, 1}] = {
      world.now, {1'300}, {7'000, 64, 0}};
  endpoint.highest_token = 4;
  JobSubmission known =
      SchedulerWorld::MakeSubmission("known", 1, 7, {300}, "route");
  known.may_have_started = true;
  world.SubmitJob(known, {300});
  world.Run({600});
  EXPECT_EQ(EndOf(world, "known"), JobResult::kCompleted);
  EXPECT_EQ(endpoint.starts, 0U);
  EXPECT_TRUE(endpoint.running.empty());
}

// What a former scheduler told of a job must not be replaced by its second,
// empty word.
TEST(SchedulingTest, AnEmptyHandoverDoesNotReplaceOne) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  FakeEndpoint& hidden = world.endpoints[EndpointId("hidden")];
  hidden.entry = world.endpoints.at(EndpointId("e1")).entry;
  hidden.entry.id = EndpointId("hidden");
  hidden.highest_token = 3;
  hidden.lease_until = world.now + Millis{450};
  hidden.running[{{SubmissionId("job"), 0, 0}, 1}] = {
      world.now, {200}, {7'000, 64, 0}};
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(1), hidden.entry}};
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
  EXPECT_EQ(EndOf(world, "job"), JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.endpoints.at(EndpointId("e1")).starts, 0U);
}

// A job that changes hands twice, before the second scheduler has found what
// the first one started: the third one has to hear of it.
TEST(SchedulingTest, RunsThatWereToldAreToldAgainUntilTheyAreFound) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  EndpointEntry dark = world.endpoints.at(EndpointId("e1")).entry;
  dark.id = EndpointId("dark");
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(3), dark}};
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
  const JobProgress told = MakeJobProgress(world.scheduler, *job, world.now);
  ASSERT_EQ(told.active_runs.size(), 1U);
  EXPECT_EQ(told.active_runs[0].endpoint.id, EndpointId("dark"));
  EXPECT_EQ(told.active_runs[0].attempt, Attempt(3));
  EXPECT_EQ(told.remaining_wait, Millis());
}

// The same before the second scheduler has heard of the first: what it tells is
// not all there is, and the third one has to wait as well.
TEST(SchedulingTest, WordThatIsStillToComeIsWaitedForByTheNextScheduler) {
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
  const JobProgress told = MakeJobProgress(world.scheduler, *job, world.now);
  EXPECT_EQ(told.remaining_wait, Millis{600});

  submission.max_progress_wait = Millis();
  ApplyJobProgress(world.scheduler, told, 5, world.now, actions);
  world.SubmitJob(submission, {600});
  world.Run({500});
  EXPECT_EQ(world.endpoints.at(EndpointId("e1")).starts, 0U);
  JobProgress rest;
  rest.job = SubmissionId("job");
  ApplyJobProgress(world.scheduler, rest, 5, world.now, actions);
  world.Run({30});
  EXPECT_EQ(world.endpoints.at(EndpointId("e1")).starts, 1U);
}

// The endpoints of a zone that was cut off are listed again one after the
// other: a job that came too early is not said to have failed.
TEST(SchedulingTest, AJobWhoseGroupHasNoEndpointsYetHasNotFailed) {
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
  EXPECT_EQ(world.scheduler.finished[0].outcome.end, JobResult::kRefused);
  EXPECT_GT(world.scheduler.finished[0].outcome.retry_after, Millis());

  submission.job.id = SubmissionId("handed-over");
  submission.may_have_started = true;
  AcceptJob(world.scheduler, DaemonRef(), south, submission, world.now,
            actions);
  EXPECT_EQ(world.scheduler.jobs.count(submission.job.id), 1U);
}

// An endpoint starts anew, gets a task, and only then its new life is noticed:
// the run goes on and is not started elsewhere.
TEST(SchedulingTest, ARunOfANewLifeIsNotTakenForOneOfTheFormer) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
  world.AddEndpoint("e2", 16, 1);
  world.Run({20});
  world.Submit("first", 4, 7, {600});
  world.Run({30});
  // Its runs end with its former life.
  endpoint.running.clear();
  endpoint.closed_attempts.clear();
  endpoint.ended.clear();
  endpoint.last_end = 0;
  endpoint.started_at_ms = 2;
  const uint64_t before = endpoint.starts;
  EndpointEntry entry = endpoint.entry;
  entry.started_at_ms = 2;
  Actions actions;
  world.Submit("second", 1, 2, {300});
  world.Run({10});
  const uint64_t started = endpoint.starts - before;
  UpdateEndpoint(world.scheduler, entry, world.now, actions);
  world.Run({1'300});
  EXPECT_EQ(EndOf(world, "second"), JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(started, 1U);
}

// Connections that are reset fail at once: they must not be tried again with
// each round trip.
TEST(SchedulingTest, OrdersThatFailAtOncePauseBeforeTheyAreRepeated) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  world.Submit("job", 2, 7, {600});
  world.Run({50});
  world.resetting.insert(EndpointId("e1"));
  const uint64_t before = world.orders;
  world.Run({500});
  // A renewal and two stops each 50 ms, and what was under way.
  EXPECT_LE(world.orders - before, 36U);
  EXPECT_GE(world.orders - before, 8U);
}

// An endpoint started anew after the look and has forgotten the fencing token,
// so that a former owner could use it; then its job is handed over.
TEST(SchedulingTest, AToldRunOnAnEndpointLookedAtIsLookedFor) {
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
  world.TakeWord(progress);
  world.Run({900});
  EXPECT_EQ(EndOf(world, "job"), JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(endpoint.starts + other.starts, 0U);
}

// An endpoint that could not be looked at for seconds, in a zone that was cut
// off: when a job is handed over that runs there, its tasks wait for the look.
TEST(SchedulingTest, TasksOnAnEndpointNotLookedAtAreNotStartedElsewhere) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  bool is_cut = true;
  world.loses_order = [&is_cut](const EndpointCommand& command) {
    return is_cut && command.endpoint == EndpointId("dark");
  };
  FakeEndpoint& dark = world.AddEndpoint("dark", 16, 1);
  world.Run({3'000});
  dark.lease_until = world.now + Millis{450};
  dark.running[{{SubmissionId("job"), 0, 0}, 1}] = {
      world.now, {300}, {7'000, 64, 0}};
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(1), dark.entry}};
  Actions actions;
  ApplyJobProgress(world.scheduler, progress, 5, world.now, actions);
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {300}, "route");
  submission.may_have_started = true;
  world.SubmitJob(submission, {300});
  world.Run({50});
  is_cut = false;
  world.Run({900});
  EXPECT_EQ(EndOf(world, "job"), JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
}

// An endpoint that is given away while its job stays: the run may go on there.
TEST(SchedulingTest, ARunOnAnEndpointGivenAwayIsNotStartedElsewhere) {
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

// A task that asks for an accelerator and nothing else keeps its lease.
TEST(SchedulingTest, ATaskOfAnAcceleratorOnlyKeepsItsLease) {
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
  EXPECT_EQ(EndOf(world, "job"), JobResult::kCompleted);
  EXPECT_EQ(endpoint.starts, 1U);
}

// "Refused" says that nothing has run; a second scheduler can't say so of what
// a first one may have started.
TEST(SchedulingTest, WhatMayHaveStartedIsNeverRefused) {
  SchedulerWorld world;
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {200}, "route");
  submission.may_have_started = true;
  world.SubmitJob(submission, {200});
  // Endpoints may be listed in a moment; it is given up once they would be too
  // late, before the caller stops waiting.
  world.Run({300});
  EXPECT_EQ(world.results.count(SubmissionId("job")), 0U);
  world.Run({1'150});
  EXPECT_EQ(EndOf(world, "job"), JobResult::kAbandoned);
}

TEST(SchedulingTest, JobsOfAnotherGroupLeaveItsEndpointsAlone) {
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

// Lost orders and answers, silent endpoints and cancels at random: whatever
// happens, no task has two runs at a time, and every caller gets an answer.
TEST(SchedulingTest, NothingRunsTwiceWhateverIsLost) {
  for (uint32_t seed = 1; seed <= 12; ++seed) {
    SchedulerWorld world;
    std::mt19937 random(seed);
    for (int i = 0; i < 6; ++i)
      world.AddEndpoint("e" + std::to_string(i), i % 2 == 0 ? 16 : 24,
                        i % 3 == 0 ? 1.7 : 0.7);
    world.Run({20});
    int dark = -1;
    world.loses_answer = [&random](const EndpointCommand&) {
      return random() % 40 == 0;
    };
    world.loses_order = [&random, &dark](const EndpointCommand& command) {
      return command.endpoint.value == "e" + std::to_string(dark) ||
             random() % 40 == 0;
    };
    int sent = 0;
    for (int round = 0; round < 300; ++round) {
      if (round % 60 == 0)
        dark = static_cast<int>(random() % 8);
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

TEST(JobOrderTest, LateJobsGoBehindAndShortSlackGoesFirst) {
  ScheduledJob urgent;
  urgent.job.id = SubmissionId("urgent");
  urgent.latest_start = {100};
  ScheduledJob patient;
  patient.job.id = SubmissionId("patient");
  patient.latest_start = {500};
  EXPECT_LT(OrderKeyOf(urgent, {50}), OrderKeyOf(patient, {50}));
  EXPECT_LT(OrderKeyOf(patient, {200}), OrderKeyOf(urgent, {200}));
}

}  // namespace
}  // namespace dogwoodfall
