#include <gtest/gtest.h>

#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

/** A scheduler with an endpoint whose clock is 2 % slow and was read long ago.
 */
struct SlowClockFixture {
  explicit SlowClockFixture(Millis idle_time) {
    FakeEndpoint& endpoint = this->world.AddEndpoint("e1", 16, 1);
    endpoint.clock_set_at = this->world.now;
    endpoint.clock_rate = 0.98;
    this->world.Run({20});
    this->world.Run(idle_time);
    this->world.Submit("job", 1, 7, {1'000});
  }

  FakeEndpoint& Endpoint() {
    return this->world.endpoints.at(EndpointId("e1"));
  }

  SchedulerWorld world;
};

// A scheduler that is lost right after a start renews nothing.
TEST(EndpointClockTest, RunsOnSlowClocksEndInTimeWhenTheirSchedulerIsLost) {
  for (const int64_t idle_ms : {0, 2'000, 20'000, 120'000}) {
    SlowClockFixture fixture({idle_ms});
    const Millis started_at = fixture.world.now;
    fixture.world.Run({1});
    fixture.world.is_command_lost = [](const EndpointCommand&) { return true; };
    while (!fixture.Endpoint().running.empty())
      fixture.world.Run({1});
    EXPECT_LE(fixture.world.now, started_at + kRunsEndedAfter) << idle_ms;
  }
}

TEST(EndpointClockTest, RunsOnSlowClocksKeepTheirLeases) {
  for (const int64_t idle_ms : {0, 2'000, 18'000, 24'000, 120'000}) {
    SlowClockFixture fixture({idle_ms});
    fixture.world.Run({1'100});
    EXPECT_EQ(fixture.Endpoint().starts, 1U) << idle_ms;
    EXPECT_EQ(fixture.world.results[SubmissionId("job")].outcome.result,
              JobResult::kCompleted)
        << idle_ms;
  }
}

}  // namespace
}  // namespace dogwoodfall
