#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>

#include "fleet_world.h"

namespace dogwoodfall {
namespace {

/** Sends a message from one daemon to another; it arrives at once. */
Actions Deliver(FleetWorld& world,
                const std::string& from,
                const std::string& to,
                PeerMessage message) {
  Actions sent;
  Send(world.Node(from).sessions, world.Node(to).self, std::move(message),
       SessionLimits(), world.now, sent);
  Actions actions;
  for (const Action& action : sent) {
    if (const auto* frame = std::get_if<SendFrame>(&action))
      OnPeerFrame(world.Node(to), world.now, frame->frame, actions);
  }
  return actions;
}

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

size_t CountStartCommands(const Actions& actions) {
  size_t count = 0;
  for (const Action& action : actions) {
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
  EXPECT_EQ(CountStartCommands(actions), 2U);
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
  EXPECT_EQ(CountStartCommands(actions), 0U);
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
  EXPECT_EQ(CountStartCommands(actions), 2U);
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
  EXPECT_EQ(CountStartCommands(actions), 0U);
}

}  // namespace
}  // namespace dogwoodfall
