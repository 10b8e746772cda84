#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "core/fleet/announcement_flow.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_lease.h"
#include "fleet_world.h"

namespace dogwoodfall {
namespace {

/** Still runs when the job is sent again. */
constexpr Millis kRunTime{1'450};
constexpr Millis kRepeatAt{1'310};
constexpr Millis kRepeatRunTime{200};
/** As many runs as leave room for one on an endpoint with another one. */
constexpr int kOtherJobs = 7;

bool IsInNorth(const DaemonId& daemon) {
  return daemon.value.rfind("north", 0) == 0;
}

/** A job runs in the north and is announced to the south, where it is sent
 * again.
 */
struct AnnouncedJobFixture {
  AnnouncedJobFixture() {
    SetUpTwoZones(this->world);
    this->scheduler = this->world.OwnerOf("north");
    this->receiver = OtherDaemonInZone(this->scheduler);
    this->world.is_partitioned = [this](const DaemonId& a, const DaemonId& b) {
      return this->are_zones_cut && IsInNorth(a) != IsInNorth(b);
    };
  }

  void SubmitFirst(Millis run_time = kRunTime) {
    this->submitted_at = this->world.now;
    this->world.Submit(this->receiver, "job", 1, run_time);
  }

  /** Advances the clock to an age of the job. */
  void RunUntilAge(Millis age) {
    this->world.RunFor(this->submitted_at + age - this->world.now);
  }

  FleetWorld world;
  std::string scheduler;
  std::string receiver;
  Millis submitted_at;
  bool are_zones_cut = false;
};

// Its peers have heard of the job from the former life of its scheduler.
TEST(AnnouncementTest, JobOfARestartedSchedulerRunsBesideNoRepeat) {
  for (const int64_t killed_at : {900, 1'000, 1'100, 1'200, 1'280}) {
    AnnouncedJobFixture fixture;
    FleetWorld& world = fixture.world;
    fixture.SubmitFirst();
    fixture.RunUntilAge({killed_at});
    ASSERT_EQ(world.CountRuns("job"), 1U) << killed_at;
    // The new life doesn't find the run.
    world.is_endpoint_unreachable = [](const DaemonId& daemon,
                                       const EndpointId&) {
      return IsInNorth(daemon);
    };
    fixture.are_zones_cut = true;
    world.KillDaemon(fixture.scheduler);
    world.StartDaemon(fixture.scheduler, "north");
    fixture.RunUntilAge(kRepeatAt);
    world.Submit("south0", "job", 1, kRepeatRunTime);
    world.RunFor({1'500});
    EXPECT_TRUE(world.overlaps.empty()) << killed_at;
  }
}

// Both daemons of the zone have lost what they had acknowledged.
TEST(AnnouncementTest, RestartedZoneRunsNoRepeatBesideAJobThatItKnew) {
  for (const int64_t killed_at : {800, 900, 1'000, 1'100, 1'200}) {
    AnnouncedJobFixture fixture;
    FleetWorld& world = fixture.world;
    fixture.SubmitFirst();
    fixture.RunUntilAge({killed_at});
    fixture.are_zones_cut = true;
    for (const char* daemon : {"south0", "south1"}) {
      world.KillDaemon(daemon);
      world.StartDaemon(daemon, "south");
    }
    fixture.RunUntilAge(kRepeatAt);
    world.Submit("south0", "job", 1, kRepeatRunTime);
    world.RunFor({1'500});
    EXPECT_TRUE(world.overlaps.empty()) << killed_at;
  }
}

// The former owner and its standby have acknowledged the job, but not the third
// daemon, which replaces both.
TEST(AnnouncementTest, OwnerThatWasNoStandbyRunsNoRepeatBesideAnAnnouncedJob) {
  for (const int64_t stopped_at : {800, 900, 1'000, 1'100, 1'200}) {
    AnnouncedJobFixture fixture;
    FleetWorld& world = fixture.world;
    for (const char* daemon : {"south2", "south3", "south4", "south5", "south6",
                               "north2", "north3", "north4", "north5"})
      world.StartDaemon(daemon, std::string(daemon).substr(0, 5));
    world.RunFor({3'000});
    fixture.scheduler = world.OwnerOf("north");
    const FleetView& view = world.Node("north0").view;
    std::vector<std::string> candidates;
    std::string third;
    for (const auto& [id, member] : view.members) {
      if (IsInNorth(id)) {
        if (id.value != fixture.scheduler)
          fixture.receiver = id.value;
      } else if (IsOwnerCandidate(view, id)) {
        candidates.push_back(id.value);
      } else {
        third = id.value;
      }
    }
    ASSERT_FALSE(third.empty());
    fixture.SubmitFirst();
    fixture.RunUntilAge({stopped_at});
    ASSERT_EQ(world.CountRuns("job"), 1U) << stopped_at;
    fixture.are_zones_cut = true;
    for (const std::string& daemon : candidates)
      world.StopDaemon(daemon);
    fixture.RunUntilAge(kRepeatAt);
    world.Submit(third, "job", 1, kRepeatRunTime);
    world.RunFor({1'500});
    EXPECT_TRUE(world.overlaps.empty()) << stopped_at;
  }
}

// Its items have expired, so it isn't asked any more.
TEST(AnnouncementTest, CutOffZoneWhoseItemsHaveExpiredRunsNoRepeat) {
  for (const int64_t cut_for_ms : {1'000, 2'500, 4'000, 6'000}) {
    AnnouncedJobFixture fixture;
    FleetWorld& world = fixture.world;
    fixture.are_zones_cut = true;
    world.is_store_unreachable = [](const DaemonId& daemon) {
      return !IsInNorth(daemon);
    };
    world.is_endpoint_unreachable = [](const DaemonId& daemon,
                                       const EndpointId& endpoint) {
      return IsInNorth(daemon) != (endpoint.value.rfind("north", 0) == 0);
    };
    world.RunFor({cut_for_ms});
    fixture.SubmitFirst();
    fixture.RunUntilAge(kRepeatAt);
    world.Submit("south0", "job", 1, kRepeatRunTime);
    world.RunFor({1'500});
    EXPECT_TRUE(world.overlaps.empty()) << cut_for_ms;
  }
}

// The stop of its run is under way, and its receiver has withdrawn it.
TEST(AnnouncementTest, EndedJobIsAnnouncedUntilItsRunHasEnded) {
  AnnouncedJobFixture fixture;
  FleetWorld& world = fixture.world;
  fixture.SubmitFirst();
  fixture.RunUntilAge({900});
  FleetNode& node = world.Node(fixture.scheduler);
  const SubmissionId job("job");
  world.is_endpoint_unreachable = [&fixture](const DaemonId& daemon,
                                             const EndpointId&) {
    return daemon.value == fixture.scheduler;
  };
  Actions actions;
  EndJob(node.scheduler, job, {JobResult::kAbandoned, {}, "test"}, world.now,
         actions);
  ASSERT_EQ(node.scheduler.jobs.count(job), 0U);
  ASSERT_EQ(world.CountRuns("job"), 1U);
  int announced_for_ms = 0;
  while (world.CountRuns("job") > 0) {
    const std::vector<JobInProgress> announced =
        ListAnnouncedJobs(node, world.now);
    const bool is_announced = std::any_of(
        announced.begin(), announced.end(),
        [&job](const JobInProgress& entry) { return entry.job == job; });
    ASSERT_TRUE(is_announced) << announced_for_ms;
    world.RunFor({1});
    ++announced_for_ms;
  }
  EXPECT_GT(announced_for_ms, 100);
}

// The lease of an endpoint with runs counts as the longest one then, so older
// jobs start there once they are acknowledged.
TEST(AnnouncementTest, CallersGetTheirAnswersAfterATakeover) {
  for (const int64_t age_ms : {0, 100, 200, 300, 400, 500, 600, 700, 800}) {
    AnnouncedJobFixture fixture;
    FleetWorld& world = fixture.world;
    for (int i = 0; i < kOtherJobs; ++i)
      world.Submit(fixture.receiver, "long" + std::to_string(i), 1, {1'200});
    world.RunFor({100});
    world.Node(fixture.scheduler).scheduler.starts_blocked_until =
        world.now + Millis{2'000};
    const Millis sent_at = world.now;
    world.Submit(fixture.receiver, "job", 1, kRepeatRunTime);
    world.RunFor({age_ms});
    world.StopDaemon(fixture.scheduler);
    while (world.results.count("job") == 0 &&
           world.now < sent_at + Millis{1'500})
      world.RunFor({1});
    ASSERT_EQ(world.results.count("job"), 1U) << age_ms;
    EXPECT_EQ(world.results.at("job"), JobResult::kCompleted) << age_ms;
    const Millis starts_at = age_ms <= 200
                                 ? Millis{age_ms}
                                 : std::max(Millis{age_ms}, kAnnounceJobAfter);
    EXPECT_LE(world.now - sent_at, starts_at + kRepeatRunTime + Millis{50})
        << age_ms;
  }
}

// The present lease of the endpoint is longer, as another job's run is there.
TEST(AnnouncementTest, RunEndsWithTheLastConfirmationOfItsJobOnABusyEndpoint) {
  int started = 0;
  for (int64_t phase_ms = 0; phase_ms < 160; phase_ms += 10) {
    for (int64_t waited_ms = 200; waited_ms <= 260; waited_ms += 20) {
      AnnouncedJobFixture fixture;
      FleetWorld& world = fixture.world;
      for (int i = 0; i < kOtherJobs; ++i)
        world.Submit(fixture.scheduler, "other" + std::to_string(i), 1,
                     kRunTime);
      world.RunFor(Millis{100} + Millis{phase_ms});
      fixture.SubmitFirst({1'000});
      world.Node(fixture.scheduler).scheduler.starts_blocked_until =
          world.now + Millis{waited_ms};
      world.RunFor({5});
      const Millis confirmed_at = world.now;
      world.is_partitioned = [&fixture](const DaemonId& from, const DaemonId&) {
        return from.value == fixture.receiver;
      };
      world.RunFor(Millis{waited_ms});
      for (int i = 0; i < 50 && world.CountRuns("job") == 0; ++i)
        world.RunFor({1});
      started += world.CountRuns("job") > 0 ? 1 : 0;
      world.is_endpoint_unreachable = [](const DaemonId&, const EndpointId&) {
        return true;
      };
      while (world.CountRuns("job") > 0)
        world.RunFor({1});
      EXPECT_LE(world.now - confirmed_at, kRunsEndedAfter)
          << phase_ms << " " << waited_ms;
    }
  }
  EXPECT_GT(started, 0);
}

}  // namespace
}  // namespace dogwoodfall
