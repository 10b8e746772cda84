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

JobTask TaskOf(const std::string& job, uint32_t index) {
  return {SubmissionId(job), 0, index};
}

TEST(JobEvidenceTest, JobThatAnotherReceiverHadStartedWaitsForItsProgress) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 7, 1);
  world.Run({20});
  world.Submit("other", 1, 7, {100});
  FakeEndpoint& foreign = world.endpoints[EndpointId("foreign")];
  foreign.entry = world.endpoints.at(EndpointId("e1")).entry;
  foreign.entry.id = EndpointId("foreign");
  foreign.lease_until = world.now + Millis{800};
  foreign.running[{TaskOf("job", 0), 1}] = {
      world.now, {600}, {7'000, 64, 0}, RunResult::kDone};
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {600}, "route");
  submission.job.time_left = {4'000};
  submission.job.target_latency = {4'000};
  world.SubmitJob(submission, {600});
  world.Run({20});
  submission.may_have_started = true;
  submission.previous_scheduler = {DaemonId("d2"), Incarnation(1)};
  submission.max_progress_wait = {600};
  Actions joined;
  AcceptJob(world.scheduler, {DaemonId("d9"), Incarnation(1)}, submission.group,
            submission, world.now, joined);
  world.Run({200});
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(1), foreign.entry}};
  world.SubmitProgress(progress);
  world.Run({3'000});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
            JobResult::kCompleted);
}

size_t CountProgressMessages(const Actions& actions) {
  size_t count = 0;
  for (const Action& action : actions) {
    const auto* frame = std::get_if<SendFrame>(&action);
    if (frame != nullptr && frame->frame.message &&
        std::holds_alternative<JobProgress>(*frame->frame.message))
      ++count;
  }
  return count;
}

/** Two zones, and the daemons that exchange a job in them. */
struct Handover {
  FleetWorld world;
  std::string receiver, owner, next;
  Handover() {
    SetUpTwoZones(this->world);
    this->owner = this->world.OwnerOf("north");
    this->receiver = OtherDaemonInZone(this->owner);
    this->next = this->world.OwnerOf("south");
  }
  FleetNode& Owner() { return this->world.Node(this->owner); }
  JobReleaseRequest Request(const std::string& to) {
    return {SubmissionId("job"), this->world.Node(to).self,
            this->Owner().view.revision};
  }
};

TEST(JobEvidenceTest,
     ProgressOfACancelledJobDoesNotProveThatItsRepeatIsUnstarted) {
  Handover handover;
  JobProgress progress;
  progress.job = SubmissionId("job");
  Deliver(handover.world, handover.receiver, handover.owner, progress);
  Deliver(handover.world, handover.receiver, handover.owner,
          JobCancellation{SubmissionId("job")});
  const Actions actions =
      Deliver(handover.world, handover.receiver, handover.owner,
              handover.Request(handover.next));
  EXPECT_EQ(CountProgressMessages(actions), 0U);
}

TEST(JobEvidenceTest, ProgressOfAnEarlierSubmissionDoesNotEndTheWait) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  JobProgress earlier;
  earlier.job = SubmissionId("job");
  world.SubmitProgress(earlier);
  world.Run({1'000});
  FakeEndpoint& foreign = world.endpoints[EndpointId("foreign")];
  foreign.entry = world.endpoints.at(EndpointId("e1")).entry;
  foreign.entry.id = EndpointId("foreign");
  foreign.lease_until = world.now + Millis{800};
  foreign.running[{TaskOf("job", 0), 1}] = {
      world.now, {600}, {7'000, 64, 0}, RunResult::kDone};
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {600}, "route");
  submission.job.age = {200};
  submission.may_have_started = true;
  submission.max_progress_wait = {600};
  world.SubmitJob(submission, {600});
  world.Run({20});
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(1), foreign.entry}};
  world.SubmitProgress(progress);
  world.Run({600});
  EXPECT_TRUE(world.overlaps.empty());
}

TEST(JobEvidenceTest, RunsOfAJobWhoseNextSchedulerIsLostAreStopped) {
  Handover handover;
  FleetWorld& world = handover.world;
  world.Submit(handover.receiver, "job", 1, {1'400});
  world.RunFor({50});
  Deliver(world, handover.receiver, handover.owner,
          handover.Request(handover.next));
  ASSERT_EQ(world.CountRuns("job"), 1U);
  world.KillDaemon(handover.next);
  world.RunFor({620});
  EXPECT_EQ(world.CountRuns("job"), 0U);
}

TEST(JobEvidenceTest,
     SpilloverOfARepeatDoesNotProveThatAReleasedJobIsUnstarted) {
  Handover handover;
  handover.world.Submit(handover.receiver, "job", 1, {600});
  handover.world.RunFor({50});
  ASSERT_EQ(handover.world.CountRuns("job"), 1U);
  Deliver(handover.world, handover.receiver, handover.owner,
          handover.Request(handover.next));
  RecordSpillover(handover.Owner(), SubmissionId("job"),
                  handover.world.Node(handover.next).self, {ZoneId("south"), 0},
                  handover.world.now);
  const Actions actions =
      Deliver(handover.world, handover.receiver, handover.owner,
              handover.Request(OtherDaemonInZone(handover.next)));
  EXPECT_EQ(CountProgressMessages(actions), 0U);
}

TEST(JobEvidenceTest, EarlyRepeatDoesNotProveThatAReleasedJobIsUnstarted) {
  Handover handover;
  handover.world.Submit(handover.receiver, "job", 1, {600});
  handover.world.RunFor({50});
  ASSERT_EQ(handover.world.CountRuns("job"), 1U);
  const TransientJob job =
      handover.Owner().scheduler.jobs.at(SubmissionId("job")).job;
  Deliver(handover.world, handover.receiver, handover.owner,
          handover.Request(handover.next));
  JobSubmission repeat;
  repeat.job = job;
  repeat.group = {ZoneId("north"), 0};
  repeat.sent_at = handover.world.now;
  repeat.view_revision = handover.Owner().view.revision + 1;
  Deliver(handover.world, "south0", handover.owner, repeat);
  const Actions actions =
      Deliver(handover.world, handover.receiver, handover.owner,
              handover.Request(OtherDaemonInZone(handover.next)));
  EXPECT_EQ(CountProgressMessages(actions), 0U);
}

// The next scheduler sends the job to the owner of the group that was named.
TEST(JobEvidenceTest, OutdatedRequestReleasesAJobWhoseGroupHasChanged) {
  Handover handover;
  handover.world.Submit(handover.owner, "job", 1, {600});
  handover.world.RunFor({50});
  JobSubmission submission;
  submission.job = handover.Owner().scheduler.jobs.at(SubmissionId("job")).job;
  submission.group = {ZoneId("north"), 7};
  submission.sent_at = handover.world.now;
  Deliver(handover.world, "south0", handover.owner, submission);
  JobReleaseRequest request =
      handover.Request(OtherDaemonInZone(handover.next));
  --request.view_revision;
  const Actions actions =
      Deliver(handover.world, handover.receiver, handover.owner, request);
  EXPECT_EQ(CountProgressMessages(actions), 1U);
}

TEST(JobEvidenceTest, ReceiverWithAnotherGroupRequestsTheReleaseByAnyView) {
  Handover handover;
  FleetWorld& world = handover.world;
  world.Submit(handover.receiver, "job", 1, {600});
  world.RunFor({50});
  FleetNode& receiver = world.Node(handover.receiver);
  receiver.reception.pending.at(SubmissionId("job")).announced_group = {
      ZoneId("north"), 7};
  ViewNotice view;
  view.revision = receiver.view.revision + 1;
  for (const auto& [id, member] : receiver.view.members) {
    view.members.push_back(member);
    view.members.back().address.leaving = id == handover.Owner().self.id;
  }
  const Actions actions =
      Deliver(world, handover.next, handover.receiver, view);
  std::vector<uint64_t> revisions;
  for (const Action& action : actions) {
    const auto* frame = std::get_if<SendFrame>(&action);
    if (frame == nullptr || !frame->frame.message)
      continue;
    if (const auto* request =
            std::get_if<JobReleaseRequest>(&*frame->frame.message))
      revisions.push_back(request->view_revision);
  }
  EXPECT_EQ(revisions, std::vector<uint64_t>{JobReleaseRequest::kAnyView});
}

size_t CountRedirects(const Actions& actions, const std::string& to) {
  size_t count = 0;
  for (const Action& action : actions) {
    const auto* frame = std::get_if<SendFrame>(&action);
    if (frame != nullptr && frame->frame.message &&
        frame->frame.to.id.value == to &&
        std::holds_alternative<JobRedirect>(*frame->frame.message))
      ++count;
  }
  return count;
}

TEST(JobEvidenceTest, ReceiverOfAnEarlyJobIsToldThatItWasReleased) {
  Handover handover;
  handover.world.Submit(handover.receiver, "job", 1, {600});
  handover.world.RunFor({50});
  const TransientJob job =
      handover.Owner().scheduler.jobs.at(SubmissionId("job")).job;
  JobSubmission repeat;
  repeat.job = job;
  repeat.group = {ZoneId("north"), 0};
  repeat.sent_at = handover.world.now;
  repeat.view_revision = handover.Owner().view.revision + 1;
  Deliver(handover.world, "south0", handover.owner, repeat);
  ViewNotice view;
  view.revision = handover.Owner().view.revision + 1;
  for (const auto& [id, member] : handover.Owner().view.members) {
    view.members.push_back(member);
    view.members.back().address.leaving = id == handover.Owner().self.id;
  }
  const Actions actions =
      Deliver(handover.world, handover.receiver, handover.owner, view);
  EXPECT_EQ(CountRedirects(actions, handover.receiver), 1U);
  EXPECT_EQ(CountRedirects(actions, "south0"), 1U);
}

TEST(JobEvidenceTest,
     ProgressIsKeptWhenItsJobWasForwardedToADaemonThatHasEnded) {
  Handover handover;
  RecordSpillover(handover.Owner(), SubmissionId("job"),
                  {DaemonId(handover.next), Incarnation(999)},
                  {ZoneId("south"), 0}, handover.world.now);
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {
      {0, 0, Attempt(1),
       handover.world.endpoints.at(EndpointId("south-e0")).entry}};
  Deliver(handover.world, handover.receiver, handover.owner, progress);
  EXPECT_EQ(
      handover.Owner().scheduler.early_progress.count(SubmissionId("job")), 1U);
}

TEST(JobEvidenceTest, RefusalOfAnEarlierSubmissionIsIgnored) {
  Handover handover;
  handover.world.Submit(handover.receiver, "job", 1, {600});
  handover.world.RunFor({5});
  const SubmissionId job("job");
  auto& pending_jobs = handover.world.Node(handover.receiver).reception.pending;
  pending_jobs.at(job).may_have_started = true;
  Deliver(handover.world, handover.owner, handover.receiver,
          JobReport{job, {JobResult::kRefused, {}, "test"}});
  EXPECT_EQ(pending_jobs.count(job), 1U);
}

TEST(JobEvidenceTest, ListRequestedBeforeAReportDoesNotEndItsReconciliation) {
  for (int offset = 0; offset < 160; ++offset) {
    SchedulerWorld world;
    FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
    world.Run({20});
    world.Submit("other", 1, 7, {1'400});
    world.Run({200 + offset});
    JobSubmission submission =
        SchedulerWorld::MakeSubmission("job", 1, 7, {300}, "route");
    submission.may_have_started = true;
    submission.max_progress_wait = {600};
    world.SubmitJob(submission, {300});
    JobProgress progress;
    progress.job = SubmissionId("job");
    progress.active_runs = {{0, 0, Attempt(1), endpoint.entry}};
    world.SubmitProgress(progress);
    world.Run({700});
    EXPECT_EQ(world.results.count(SubmissionId("job")), 1U) << offset;
  }
}

TEST(JobEvidenceTest, RunThatIsReportedDuringARenewalIsNotStopped) {
  for (int offset = 0; offset < 160; ++offset) {
    SchedulerWorld world;
    FakeEndpoint& endpoint = world.AddEndpoint("e1", 16, 1);
    world.Run({20});
    world.Submit("other", 1, 7, {1'400});
    world.Run({200 + offset});
    JobSubmission submission =
        SchedulerWorld::MakeSubmission("job", 1, 7, {300}, "route");
    submission.may_have_started = true;
    submission.max_progress_wait = {600};
    world.SubmitJob(submission, {300});
    endpoint.running[{TaskOf("job", 0), 1}] = {
        world.now, {300}, {7'000, 64, 0}, RunResult::kDone};
    JobProgress progress;
    progress.job = SubmissionId("job");
    progress.active_runs = {{0, 0, Attempt(1), endpoint.entry}};
    world.SubmitProgress(progress);
    world.Run({600});
    EXPECT_EQ(world.results.count(SubmissionId("job")), 1U) << offset;
  }
}

TEST(JobEvidenceTest, RunsOfTheOwnerOfAHeldEndpointAreNotStopped) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 16, 1);
  world.Run({20});
  FakeEndpoint& foreign = world.endpoints[EndpointId("foreign")];
  foreign.entry = world.endpoints.at(EndpointId("e1")).entry;
  foreign.entry.id = EndpointId("foreign");
  foreign.lease_until = world.now + Millis{4'000};
  foreign.running[{TaskOf("others-job", 0), 1}] = {
      world.now, {2'000}, {7'000, 64, 0}, RunResult::kDone};
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {300}, "route");
  submission.may_have_started = true;
  submission.max_progress_wait = {600};
  world.SubmitJob(submission, {300});
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(1), foreign.entry}};
  world.SubmitProgress(progress);
  world.Run({20});
  EXPECT_EQ(world.endpoints.at(EndpointId("e1")).starts, 1U);
  world.Run({600});
  EXPECT_EQ(foreign.running.size(), 1U);
}

TEST(JobEvidenceTest, RunOnAnEndpointThatIsReleasedAfterItsJobIsNotRepeated) {
  SchedulerWorld world;
  world.AddEndpoint("e1", 7, 1);
  world.Run({20});
  world.Submit("job", 1, 7, {600});
  world.Run({50});
  world.AddEndpoint("e2", 7, 1);
  world.Run({20});
  RemoveJob(world.scheduler, SubmissionId("job"));
  ReleaseEndpoint(world.scheduler, EndpointId("e1"), world.now);
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {600}, "route");
  submission.job.age = {70};
  submission.may_have_started = true;
  world.SubmitJob(submission, {600});
  world.Run({500});
  EXPECT_TRUE(world.overlaps.empty());
}

TEST(JobEvidenceTest, ProgressFromBeforeAJobWasForwardedDoesNotEndItsWait) {
  Handover handover;
  handover.world.Submit(handover.receiver, "job", 1, {600});
  handover.world.RunFor({50});
  JobSubmission submission;
  submission.job = handover.Owner().scheduler.jobs.at(SubmissionId("job")).job;
  submission.job.id = SubmissionId("forwarded");
  submission.job.age = {100};
  submission.group = {ZoneId("north"), 0};
  submission.sent_at = handover.world.now;
  submission.may_have_started = true;
  submission.max_progress_wait = {600};
  submission.view_revision = handover.Owner().view.revision;
  JobProgress unstarted;
  unstarted.job = submission.job.id;
  Deliver(handover.world, handover.receiver, handover.owner, unstarted);
  RecordSpillover(handover.Owner(), submission.job.id,
                  handover.world.Node(handover.next).self, {ZoneId("south"), 0},
                  handover.world.now);
  Deliver(handover.world, handover.receiver, handover.owner, submission);
  const auto& jobs = handover.Owner().scheduler.jobs;
  ASSERT_EQ(jobs.count(submission.job.id), 1U);
  EXPECT_GT(jobs.at(submission.job.id).start_blocked_until, handover.world.now);
}

}  // namespace
}  // namespace dogwoodfall
