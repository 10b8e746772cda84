#include <gtest/gtest.h>

#include <string>

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
