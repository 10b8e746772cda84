#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <variant>

#include "fleet_world.h"

namespace dogwoodfall {
namespace {

/** Makes the submission of a job to the endpoints of a zone under a view that
 * the scheduler has not received yet.
 */
JobSubmission MakeEarlySubmission(const FleetWorld& world,
                                  const FleetNode& scheduler) {
  JobStep step;
  step.task_count = 2;
  step.resources = {7'000, 64, 0};
  step.declared_run_time = {100};
  JobSubmission submission;
  submission.job.id = SubmissionId("job");
  submission.job.route = "route";
  submission.job.service = "service";
  submission.job.steps = {step};
  submission.job.max_attempts = 3;
  submission.job.target_latency = {1'000};
  submission.job.time_left = {1'500};
  submission.group = {scheduler.zone, 0};
  submission.sent_at = world.now;
  submission.view_revision = scheduler.view.revision + 1;
  return submission;
}

/** Returns the scheduler's own members under a later revision. */
ViewNotice MakeNextView(const FleetNode& scheduler) {
  ViewNotice notice;
  notice.revision = scheduler.view.revision + 1;
  for (const auto& [id, member] : scheduler.view.members)
    notice.members.push_back(member);
  return notice;
}

std::set<DaemonId> FindCancelledDaemons(const Actions& actions) {
  std::set<DaemonId> cancelled;
  for (const Action& action : actions) {
    const auto* frame = std::get_if<SendFrame>(&action);
    if (frame != nullptr && frame->frame.message &&
        std::holds_alternative<JobCancellation>(*frame->frame.message))
      cancelled.insert(frame->frame.to.id);
  }
  return cancelled;
}

/** A job whose scheduler loses its store item, so that the next one of its zone
 * becomes the owner.
 */
struct OwnershipChangeFixture {
  /** Sends the job and lets its runs start. */
  explicit OwnershipChangeFixture(Millis run_time) {
    SetUpTwoZones(this->world);
    this->world.StartDaemon(this->receiver, "north");
    this->world.RunFor({1'000});
    this->scheduler = this->world.OwnerOf("north");
    this->next = OtherDaemonInZone(this->scheduler);
    this->caller = this->world.Submit(this->receiver, "job", 2, run_time);
    this->world.RunFor({50});
  }

  /** Removes the scheduler's item from the store, which does not answer some of
   * the daemons.
   */
  void ChangeOwner(const std::set<std::string>& without_store) {
    this->world.is_store_unreachable = [without_store](const DaemonId& id) {
      return without_store.count(id.value) > 0;
    };
    this->world.DeregisterDaemon(this->scheduler);
    this->world.RunFor({20});
  }

  FleetWorld world;
  std::string receiver = "north2";
  std::string scheduler;
  std::string next;
  CallerToken caller;
};

/** Counts the starts among a daemon's actions, and those that follow when the
 * clocks of the endpoints have been read.
 */
size_t CountStartCommands(FleetWorld& world,
                          const std::string& daemon,
                          const Actions& actions) {
  size_t count = 0;
  for (const Action& action :
       AnswerClockReadings(world, daemon, actions, world.now)) {
    const auto* call = std::get_if<CallEndpoint>(&action);
    if (call != nullptr &&
        std::holds_alternative<StartRun>(call->command.command))
      ++count;
  }
  return count;
}

TEST(WithdrawnJobTest, JobThatWaitsForANewerViewStartsWithIt) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  const std::string receiver = OtherDaemonInZone(owner);
  Deliver(world, receiver, owner,
          MakeEarlySubmission(world, world.Node(owner)));
  world.RunFor({50});
  const Actions actions =
      Deliver(world, receiver, owner, MakeNextView(world.Node(owner)));
  EXPECT_EQ(CountStartCommands(world, owner, actions), 2U);
}

// The caller has left and may have sent the job again to another daemon.
TEST(WithdrawnJobTest, CancelledJobThatWaitsForANewerViewIsNotStarted) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  const std::string receiver = OtherDaemonInZone(owner);
  Deliver(world, receiver, owner,
          MakeEarlySubmission(world, world.Node(owner)));
  Deliver(world, receiver, owner, JobCancellation{SubmissionId("job")});
  world.RunFor({50});
  const Actions actions =
      Deliver(world, receiver, owner, MakeNextView(world.Node(owner)));
  EXPECT_EQ(CountStartCommands(world, owner, actions), 0U);
}

// A job with two receivers goes on for the one that has not cancelled it.
TEST(WithdrawnJobTest, EarlyJobOfAnotherReceiverIsNotCancelled) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  const std::string receiver = OtherDaemonInZone(owner);
  for (const std::string& from : {receiver, std::string("south0")})
    Deliver(world, from, owner, MakeEarlySubmission(world, world.Node(owner)));
  Deliver(world, receiver, owner, JobCancellation{SubmissionId("job")});
  const Actions actions =
      Deliver(world, receiver, owner, MakeNextView(world.Node(owner)));
  EXPECT_EQ(CountStartCommands(world, owner, actions), 2U);
}

// The receiver is gone, so that its caller sends the job again elsewhere.
TEST(WithdrawnJobTest, EarlyJobOfALostReceiverIsNotStarted) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  const std::string receiver = OtherDaemonInZone(owner);
  JobSubmission submission = MakeEarlySubmission(world, world.Node(owner));
  submission.view_revision += 10;
  Deliver(world, receiver, owner, submission);
  world.KillDaemon(receiver);
  world.RunFor({1'000});
  ViewNotice notice = MakeNextView(world.Node(owner));
  notice.revision += 10;
  const Actions actions = Deliver(world, "south0", owner, notice);
  EXPECT_EQ(CountStartCommands(world, owner, actions), 0U);
}

// The handover is under way, and neither scheduler knows of it by its view.
TEST(WithdrawnJobTest, JobWithdrawnDuringItsHandoverIsStopped) {
  OwnershipChangeFixture fixture({1'000});
  fixture.ChangeOwner({fixture.scheduler, fixture.next});
  ASSERT_EQ(fixture.world.CountRuns("job"), 2U);
  fixture.world.Disconnect(fixture.receiver, fixture.caller);
  fixture.world.RunFor({50});
  EXPECT_EQ(fixture.world.CountRuns("job"), 0U);
}

// The job has come back to a scheduler that lacks the view and still runs it.
TEST(WithdrawnJobTest, RunsAreStoppedAlsoWhereTheJobWaitsForAView) {
  OwnershipChangeFixture fixture({1'000});
  fixture.ChangeOwner({fixture.scheduler, fixture.next});
  FleetWorld& world = fixture.world;
  JobSubmission returned =
      MakeEarlySubmission(world, world.Node(fixture.scheduler));
  returned.may_have_started = true;
  Deliver(world, fixture.receiver, fixture.scheduler, returned);
  ASSERT_EQ(world.Node(fixture.scheduler).early_jobs.size(), 1U);
  world.Disconnect(fixture.receiver, fixture.caller);
  world.RunFor({50});
  EXPECT_EQ(world.CountRuns("job"), 0U);
}

// A job that was passed on before it started is withdrawn from nobody.
TEST(WithdrawnJobTest, SchedulersThatHaveStartedNothingAreNotNotified) {
  OwnershipChangeFixture fixture({1'000});
  FleetWorld& world = fixture.world;
  JobRedirect redirect;
  redirect.job = SubmissionId("job");
  redirect.to = DaemonId(fixture.next);
  redirect.group = {ZoneId("north"), 0};
  redirect.view_revision = world.Node(fixture.receiver).view.revision + 1;
  Deliver(world, fixture.scheduler, fixture.receiver, redirect);
  Actions actions;
  OnCallerDisconnected(world.Node(fixture.receiver), world.now, fixture.caller,
                       actions);
  EXPECT_TRUE(FindCancelledDaemons(actions).empty());
}

// The job has no scheduler until its receiver gets the view of the change.
TEST(WithdrawnJobTest, JobWithdrawnWhileItsReceiverWaitsForAViewIsStopped) {
  OwnershipChangeFixture fixture({1'000});
  fixture.ChangeOwner({fixture.receiver});
  ASSERT_EQ(fixture.world.CountRuns("job"), 2U);
  fixture.world.Disconnect(fixture.receiver, fixture.caller);
  fixture.world.RunFor({50});
  EXPECT_EQ(fixture.world.CountRuns("job"), 0U);
}

// Runs of the handed over job must not go on beside those of its repeat.
TEST(WithdrawnJobTest, RepeatOfAJobWithdrawnDuringItsHandoverRunsAlone) {
  OwnershipChangeFixture fixture({1'400});
  FleetWorld& world = fixture.world;
  world.RunFor({600});
  fixture.ChangeOwner({fixture.scheduler, fixture.next});
  ASSERT_EQ(world.CountRuns("job"), 2U);
  world.Disconnect(fixture.receiver, fixture.caller);
  world.RunFor({630});
  world.Submit("south0", "job", 2, {1'400});
  world.RunFor({1'600});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.results.at("job"), JobResult::kCompleted);
}

// No receiver is left that could withdraw the job from its former scheduler.
TEST(WithdrawnJobTest, RepeatOfAJobWhoseReceiverIsLostInItsHandoverRunsAlone) {
  OwnershipChangeFixture fixture({1'400});
  FleetWorld& world = fixture.world;
  world.RunFor({600});
  fixture.ChangeOwner({fixture.scheduler, fixture.next});
  ASSERT_EQ(world.CountRuns("job"), 2U);
  world.KillDaemon(fixture.receiver);
  world.RunFor({630});
  world.Submit("south0", "job", 2, {1'400});
  world.RunFor({1'600});
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.results.at("job"), JobResult::kCompleted);
}

// The next scheduler gives the job up, while the previous one still runs it.
TEST(WithdrawnJobTest, AbandonedJobIsCancelledAtItsPreviousScheduler) {
  OwnershipChangeFixture fixture({1'000});
  fixture.ChangeOwner({fixture.scheduler, fixture.next});
  const JobOutcome abandoned{JobResult::kAbandoned, {}, "test"};
  const Actions actions = Deliver(fixture.world, fixture.next, fixture.receiver,
                                  JobReport{SubmissionId("job"), abandoned});
  EXPECT_EQ(FindCancelledDaemons(actions),
            std::set<DaemonId>{DaemonId(fixture.scheduler)});
}

}  // namespace
}  // namespace dogwoodfall
