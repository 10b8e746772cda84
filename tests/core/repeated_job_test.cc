#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/fleet/announcement_flow.h"
#include "core/fleet/handover_flow.h"
#include "core/scheduling/job_lease.h"
#include "fleet_world.h"

namespace dogwoodfall {
namespace {

/** Still runs when the job is sent again. */
constexpr Millis kRunTime{1'380};

bool IsInNorth(const DaemonId& daemon) {
  return daemon.value.rfind("north", 0) == 0;
}

/** A job runs in the north, and is sent again in the south while its first
 * receiver still waits.
 */
struct RepeatedJobFixture {
  RepeatedJobFixture() {
    SetUpTwoZones(this->world);
    this->scheduler = this->world.OwnerOf("north");
    this->receiver = OtherDaemonInZone(this->scheduler);
    this->world.is_partitioned = [this](const DaemonId& a, const DaemonId& b) {
      return this->are_zones_cut && IsInNorth(a) != IsInNorth(b);
    };
  }

  void SubmitFirst() {
    this->world.Submit(this->receiver, "job", 1, kRunTime);
    this->world.RunFor({100});
    ASSERT_EQ(this->world.CountRuns("job"), 1U);
  }

  void SubmitAgain() {
    this->world.Submit(this->world.OwnerOf("south"), "job", 1, kRunTime);
  }

  FleetWorld world;
  std::string scheduler;
  std::string receiver;
  bool are_zones_cut = false;
};

TEST(RepeatedJobTest, UnannouncedJobEndsBeforeItsRepeatStarts) {
  for (const int64_t cut_from : {0, 400, 690, 760, 900, 1'040}) {
    RepeatedJobFixture fixture;
    fixture.SubmitFirst();
    fixture.world.RunFor({cut_from});
    fixture.are_zones_cut = true;
    fixture.world.RunFor({1'200 - cut_from});
    fixture.SubmitAgain();
    fixture.world.RunFor({1'500});
    EXPECT_TRUE(fixture.world.overlaps.empty()) << cut_from;
  }
}

TEST(RepeatedJobTest, UnannouncedJobIsAnsweredBeforeItIsSentAgain) {
  RepeatedJobFixture fixture;
  fixture.are_zones_cut = true;
  fixture.SubmitFirst();
  fixture.world.RunFor({1'100});
  ASSERT_EQ(fixture.world.results.count("job"), 1U);
  EXPECT_EQ(fixture.world.results.at("job"), JobResult::kAbandoned);
  EXPECT_EQ(fixture.world.CountRuns("job"), 0U);
}

TEST(RepeatedJobTest, AnnouncedJobRunsOnAndItsRepeatJoinsIt) {
  RepeatedJobFixture fixture;
  fixture.SubmitFirst();
  fixture.world.RunFor({1'200});
  fixture.SubmitAgain();
  fixture.world.RunFor({50});
  EXPECT_EQ(fixture.world.CountRuns("job"), 1U);
  fixture.world.RunFor({150});
  ASSERT_EQ(fixture.world.results.count("job"), 1U);
  EXPECT_EQ(fixture.world.results.at("job"), JobResult::kCompleted);
  EXPECT_TRUE(fixture.world.overlaps.empty());
}

TEST(RepeatedJobTest, PlannedStopLetsAnOldJobRunOn) {
  for (const int64_t stop_at : {600, 800, 950, 1'050, 1'150}) {
    RepeatedJobFixture fixture;
    fixture.SubmitFirst();
    fixture.world.RunFor({stop_at});
    fixture.world.StopDaemon(fixture.scheduler);
    fixture.world.RunFor({1'200 - stop_at});
    fixture.SubmitAgain();
    fixture.world.RunFor({200});
    ASSERT_EQ(fixture.world.results.count("job"), 1U) << stop_at;
    EXPECT_EQ(fixture.world.results.at("job"), JobResult::kCompleted)
        << stop_at;
    EXPECT_TRUE(fixture.world.overlaps.empty()) << stop_at;
  }
}

// The owner that takes over has not heard of the job either.
TEST(RepeatedJobTest, TakeoverOfTheOtherZoneLetsNoRepeatRunBesideTheJob) {
  for (const int64_t killed_at : {300, 500, 700, 900, 1'100}) {
    RepeatedJobFixture fixture;
    const std::string former = fixture.world.OwnerOf("south");
    const std::string next = OtherDaemonInZone(former);
    fixture.world.is_partitioned = [&](const DaemonId& a, const DaemonId& b) {
      return IsInNorth(a) != IsInNorth(b) &&
             (a.value == next || b.value == next);
    };
    fixture.SubmitFirst();
    fixture.world.RunFor({killed_at});
    fixture.world.KillDaemon(former);
    fixture.world.RunFor({1'200 - killed_at});
    fixture.world.Submit(next, "job", 1, kRunTime);
    fixture.world.RunFor({1'500});
    EXPECT_TRUE(fixture.world.overlaps.empty()) << killed_at;
  }
}

// The scheduler is cut off with its receiver, and loses its endpoints.
TEST(RepeatedJobTest, JobOfACutOffOwnerRunsBesideNoRepeatInItsZone) {
  RepeatedJobFixture fixture;
  const DaemonId owner(fixture.scheduler);
  fixture.world.is_partitioned = [owner](const DaemonId& a, const DaemonId& b) {
    return a == owner || b == owner;
  };
  fixture.world.is_store_unreachable = [owner](const DaemonId& daemon) {
    return daemon == owner;
  };
  fixture.world.Submit(fixture.scheduler, "job", 1, kRunTime);
  fixture.world.RunFor({1'300});
  fixture.world.Submit(fixture.receiver, "job", 1, kRunTime);
  fixture.world.RunFor({1'500});
  EXPECT_TRUE(fixture.world.overlaps.empty());
}

TEST(RepeatedJobTest, JobReleasedTwiceIsStillAnnounced) {
  RepeatedJobFixture fixture;
  fixture.SubmitFirst();
  fixture.world.RunFor({700});
  FleetNode& node = fixture.world.Node(fixture.scheduler);
  const SubmissionId job("job");
  const DaemonRef next = fixture.world.Node(fixture.receiver).self;
  Actions actions;
  for (int i = 0; i < 2; ++i)
    ReleaseJob(node, {job, next, JobReleaseRequest::kAnyView},
               fixture.world.now, actions);
  const std::vector<JobInProgress> announced =
      ListAnnouncedJobs(node, fixture.world.now);
  ASSERT_EQ(announced.size(), 1U);
  EXPECT_EQ(announced.front().job, job);
}

// The lease of an endpoint is shared by its runs and never gets shorter.
TEST(RepeatedJobTest, OldJobStartsBesideNoLeaseThatOutlastsItsAnnouncement) {
  constexpr Millis kNow{10'000};
  const SubmissionId job("job");
  ManagedEndpoint endpoint;
  endpoint.lease_until = kNow + Millis{500};
  for (const int64_t age : {700, 915}) {
    Scheduler scheduler;
    GrantJobLease(scheduler, job, kNow);
    GrantAnnouncementLease(scheduler, job, kNow - Millis{age});
    EXPECT_EQ(HasLeaseForStart(scheduler, endpoint, job, kNow), age == 700);
  }
}

TEST(RepeatedJobTest, JobThatRunsInAnotherGroupIsNotAcknowledged) {
  RepeatedJobFixture fixture;
  fixture.are_zones_cut = true;
  fixture.SubmitFirst();
  fixture.SubmitAgain();
  fixture.world.RunFor({100});
  Heartbeat heartbeat;
  heartbeat.jobs_in_progress = {
      {SubmissionId("job"), EndpointGroup{ZoneId("north"), 0}},
      {SubmissionId("other"), EndpointGroup{ZoneId("north"), 0}}};
  const FleetNode& node = fixture.world.Node(fixture.world.OwnerOf("south"));
  EXPECT_EQ(FindAcknowledgedJobs(node, heartbeat),
            std::vector<SubmissionId>{SubmissionId("other")});
}

}  // namespace
}  // namespace dogwoodfall
