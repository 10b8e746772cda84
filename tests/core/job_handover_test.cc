#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "core/fleet/handover_flow.h"
#include "core/scheduling/job_lease.h"
#include "fleet_world.h"

namespace dogwoodfall {
namespace {

/** Two zones, and the daemons that exchange a job in them. */
struct Handover {
  FleetWorld world;
  std::string receiver;
  /** Owner of the receiver's zone, which was sent the job. */
  std::string owner;
  /** Owner of the other zone, which is to get the job. */
  std::string next;

  Handover() {
    SetUpTwoZones(this->world);
    this->owner = this->world.OwnerOf("north");
    this->receiver = OtherDaemonInZone(this->owner);
    this->next = this->world.OwnerOf("south");
  }

  FleetNode& Owner() { return this->world.Node(this->owner); }

  /** Sends a message from the receiver to the owner; it arrives at once. */
  Actions Deliver(PeerMessage message) {
    return this->Deliver(this->receiver, this->owner, std::move(message));
  }

  /** Sends a message from one daemon to another; it arrives at once. */
  Actions Deliver(const std::string& from,
                  const std::string& to,
                  PeerMessage message) {
    return dogwoodfall::Deliver(this->world, from, to, std::move(message));
  }

  /** Sends a job to the receiver twice, while messages to the owner take so
   * long that it has read neither submission.
   * @return when the first submission was sent
   */
  Millis RepeatBeforeTheOwnerReads() {
    this->world.message_delay = [this](const DaemonId&, const DaemonId& to) {
      return Millis{to.value == this->owner ? 400 : 0};
    };
    const CallerToken caller =
        this->world.Submit(this->receiver, "job", 1, {400});
    const Millis sent_at = this->world.now;
    this->world.RunFor({10});
    this->world.Disconnect(this->receiver, caller);
    this->world.RunFor({10});
    this->world.Submit(this->receiver, "job", 1, {400});
    this->world.RunFor({10});
    return sent_at;
  }

  /** Makes a submission of a job that another scheduler had before. */
  JobSubmission MakeSubmission() {
    JobStep step;
    step.task_count = 1;
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
    submission.group = {ZoneId("north"), 0};
    submission.sent_at = this->world.now;
    submission.may_forward = true;
    submission.may_have_started = true;
    submission.view_revision = this->Owner().view.revision;
    return submission;
  }

  /** Makes the progress of that job: one run, on an endpoint of the south. */
  JobProgress MakeProgress() {
    JobProgress progress;
    progress.job = SubmissionId("job");
    progress.active_runs = {
        {0, 0, Attempt(1),
         this->world.endpoints.at(EndpointId("south-e0")).entry}};
    return progress;
  }

  JobReleaseRequest MakeReleaseRequest() {
    return {SubmissionId("job"), this->world.Node(this->next).self,
            this->Owner().view.revision};
  }

  /** Makes a view with the same members under a later revision. */
  ViewNotice MakeNextView() {
    ViewNotice view;
    view.revision = this->Owner().view.revision + 1;
    for (const auto& [id, member] : this->Owner().view.members)
      view.members.push_back(member);
    return view;
  }

  /** Records that the owner has forwarded the job to the other zone, as it does
   * when its own endpoints are full.
   */
  void RecordEarlierSpillover() {
    RecordSpillover(this->Owner(), SubmissionId("job"),
                    this->world.Node(this->next).self, {ZoneId("south"), 0},
                    this->world.now);
  }
};

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

/** Returns the first submission among actions. */
std::optional<JobSubmission> FindSubmission(const Actions& actions) {
  for (const Action& action : actions) {
    const auto* frame = std::get_if<SendFrame>(&action);
    if (frame == nullptr || !frame->frame.message)
      continue;
    if (const auto* submission =
            std::get_if<JobSubmission>(&*frame->frame.message))
      return *submission;
  }
  return std::nullopt;
}

// The record is of the job's first submission; its repeat has been started.
TEST(JobHandoverTest, EarlierSpilloverDoesNotProveThatARepeatedJobIsUnstarted) {
  Handover handover;
  handover.RecordEarlierSpillover();
  handover.Deliver(handover.MakeSubmission());
  const Actions actions = handover.Deliver(handover.MakeReleaseRequest());
  EXPECT_EQ(CountProgressMessages(actions), 0U);
}

TEST(JobHandoverTest, EarlierSpilloverDoesNotProveThatALateJobIsUnstarted) {
  Handover handover;
  handover.RecordEarlierSpillover();
  JobSubmission late = handover.MakeSubmission();
  late.sent_at = late.sent_at - Millis{600};
  handover.Deliver(late);
  const Actions actions = handover.Deliver(handover.MakeReleaseRequest());
  EXPECT_EQ(CountProgressMessages(actions), 0U);
}

TEST(JobHandoverTest, JobWhoseProgressWasForwardedIsNotReportedAsUnstarted) {
  Handover handover;
  handover.RecordEarlierSpillover();
  const Actions forwarded = handover.Deliver(handover.MakeProgress());
  EXPECT_EQ(CountProgressMessages(forwarded), 1U);
  const Actions actions = handover.Deliver(handover.MakeReleaseRequest());
  EXPECT_EQ(CountProgressMessages(actions), 0U);
}

TEST(JobHandoverTest, ReleasedJobThatWaitedForANewerViewIsNotStarted) {
  Handover handover;
  const ViewNotice view = handover.MakeNextView();
  JobSubmission submission = handover.MakeSubmission();
  submission.view_revision = view.revision;
  handover.Deliver(submission);
  handover.Deliver(handover.MakeProgress());
  const Actions released = handover.Deliver(handover.MakeReleaseRequest());
  EXPECT_EQ(CountProgressMessages(released), 1U);
  handover.Deliver(view);
  EXPECT_EQ(handover.Owner().scheduler.jobs.count(SubmissionId("job")), 0U);
}

TEST(JobHandoverTest, ReceiverThatScheduledTheJobMakesTheNextOneWait) {
  Handover handover;
  handover.world.Submit(handover.owner, "job", 1, {600});
  handover.world.RunFor({50});
  ViewNotice view = handover.MakeNextView();
  for (FleetMember& member : view.members) {
    if (member.address.id == handover.Owner().self.id)
      member.address.leaving = true;
  }
  const std::optional<JobSubmission> submission =
      FindSubmission(handover.Deliver(view));
  ASSERT_TRUE(submission.has_value());
  EXPECT_TRUE(submission->may_have_started);
  EXPECT_GT(submission->max_progress_wait, Millis());
}

// The scheduler has the later submission, too, and may schedule the job by it.
TEST(JobHandoverTest, RedirectOfAnEarlierSubmissionIsIgnored) {
  Handover handover;
  handover.world.Submit(handover.receiver, "job", 1, {600});
  handover.world.RunFor({5});
  const SubmissionId job("job");
  PendingJob& pending =
      handover.world.Node(handover.receiver).reception.pending.at(job);
  ASSERT_EQ(pending.scheduler, handover.Owner().self);
  pending.may_have_started = true;
  JobRedirect redirect;
  redirect.job = job;
  redirect.to = DaemonId(handover.next);
  redirect.group = {ZoneId("south"), 0};
  redirect.view_revision = handover.Owner().view.revision;
  handover.Deliver(handover.owner, handover.receiver, redirect);
  EXPECT_EQ(pending.scheduler, handover.Owner().self);
}

// The next scheduler has the job in a group of its own and keeps it.
TEST(JobHandoverTest, OutdatedRequestReleasesTheJobToAnOwnerOfAnotherGroup) {
  Handover handover;
  handover.world.Submit(handover.owner, "job", 1, {600});
  handover.world.RunFor({50});
  JobReleaseRequest request = handover.MakeReleaseRequest();
  --request.view_revision;
  const Actions actions = handover.Deliver(request);
  EXPECT_EQ(CountProgressMessages(actions), 1U);
  EXPECT_EQ(handover.Owner().scheduler.jobs.count(SubmissionId("job")), 0U);
}

// The owner has changed since the last heartbeats with the other zone's jobs.
TEST(JobHandoverTest, NewOwnerKnowsTheJobsThatRunInOtherZones) {
  constexpr int kDaemonsPerZone = 10;
  FleetWorld world;
  for (const char* zone : {"north", "south"}) {
    for (int i = 0; i < kDaemonsPerZone; ++i)
      world.StartDaemon(std::string(zone) + std::to_string(i), zone);
    for (int i = 0; i < 12; ++i)
      world.AddEndpoint(std::string(zone) + "-e" + std::to_string(i), zone);
  }
  world.RunFor({3'000});
  world.Submit("south9", "job", 1, {1'400});
  world.RunFor({1'250});
  for (const DaemonId& owner :
       world.Node("north9").view.owners[ZoneId("north")])
    world.StopDaemon(owner.value);
  world.RunFor({50});
  world.Submit("north9", "job", 1, {1'400});
  world.RunFor({150});
  EXPECT_TRUE(world.overlaps.empty());
}

// The lease that a message carries was counted from its arrival.
TEST(JobHandoverTest, LateProgressExtendsNoLease) {
  constexpr Millis kAge{1'000};
  for (const int64_t late_ms : {0, 150, 400}) {
    Handover handover;
    JobSubmission submission = handover.MakeSubmission();
    submission.job.age = kAge;
    submission.may_have_started = true;
    submission.max_progress_wait = {500};
    handover.Deliver(submission);
    JobProgress progress;
    progress.job = submission.job.id;
    progress.remaining_lease = kHandedOverJobLease;
    progress.sent_at = handover.world.now - Millis{late_ms};
    const Millis released_at = progress.sent_at;
    handover.Deliver(handover.next, handover.owner, progress);
    const Millis lease_end = handover.Owner()
                                 .scheduler.job_lease_ends.at(progress.job)
                                 .announced_until;
    const Millis lease_end_by_age =
        handover.world.now - kAge + kUnannouncedJobLease;
    EXPECT_LE(lease_end,
              std::max(released_at + kHandedOverJobLease, lease_end_by_age))
        << late_ms;
  }
}

// It answers a submission whose caller has left; the repeat is under way.
TEST(JobHandoverTest, RedirectOfAnEarlierSubmissionMovesNoRepeat) {
  Handover handover;
  FleetWorld& world = handover.world;
  const Millis sent_at = handover.RepeatBeforeTheOwnerReads();
  JobRedirect redirect;
  redirect.job = SubmissionId("job");
  redirect.to = DaemonId(handover.next);
  redirect.group = {ZoneId("south"), 0};
  redirect.view_revision = world.Node(handover.owner).view.revision;
  redirect.is_spillover = true;
  redirect.submission_sent_at = sent_at;
  handover.Deliver(handover.owner, handover.receiver, redirect);
  const Reception& reception = world.Node(handover.receiver).reception;
  const auto pending = reception.pending.find(SubmissionId("job"));
  ASSERT_NE(pending, reception.pending.end());
  EXPECT_EQ(pending->second.scheduler.id, DaemonId(handover.owner));
}

// Its scheduler may accept the repeat, which it has not read yet.
TEST(JobHandoverTest, RefusalOfAnEarlierSubmissionEndsNoRepeat) {
  Handover handover;
  handover.RepeatBeforeTheOwnerReads();
  JobReport report;
  report.job = SubmissionId("job");
  report.outcome = {JobResult::kRefused, {1'000}, "fits_no_endpoint"};
  handover.Deliver(handover.owner, handover.receiver, report);
  const Reception& reception = handover.world.Node(handover.receiver).reception;
  EXPECT_EQ(reception.pending.count(SubmissionId("job")), 1U);
}

}  // namespace
}  // namespace dogwoodfall
