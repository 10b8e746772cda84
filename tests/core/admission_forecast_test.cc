#include "core/scheduling/admission_forecast.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "played_load.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

constexpr Millis kSettled{2'500};

SchedulingOptions MakeOptions(bool admission_forecast) {
  SchedulingOptions options;
  options.packing = true;
  options.admission_forecast = admission_forecast;
  return options;
}

/** Plays twice the load that four endpoints can carry, until jobs are refused
 * by forecast, and leaves a long queue. What it refuses from then on is left to
 * the test.
 */
void PlayOverload(SchedulerWorld& world) {
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.scheduler.options.admission_forecast = true;
  world.Run({20});
  int sent = 0;
  for (Millis time; time < kSettled; time = time + Millis{12}) {
    world.Submit("job" + std::to_string(sent++), 2, 7, {100});
    world.Run({12});
  }
  // No review takes place while the queue grows.
  for (int i = 0; i < 60; ++i)
    world.Submit("last" + std::to_string(i), 2, 7, {100});
}

// Guards against jobs that wait until they are too late although the queue is
// longer than can be served, and against a forecast that costs jobs which would
// have been in time.
TEST(AdmissionForecastTest, JobsThatCannotStartInTimeAreRefusedEarlier) {
  constexpr double kOverload = 2.5;
  const PlayedLoad off = PlayLoad(MakeOptions(false), kOverload, 1);
  const PlayedLoad on = PlayLoad(MakeOptions(true), kOverload, 1);
  PrintPlayedLoad("off", off);
  PrintPlayedLoad("on", on);
  EXPECT_EQ(off.counters.forecast_refusals, 0U);
  EXPECT_GT(on.counters.forecast_refusals, 0U);
  EXPECT_LE(on.all.MeanRefusalMs(), 0.85 * off.all.MeanRefusalMs());
  EXPECT_GE(on.all.Share(), off.all.Share() - 0.02);
  for (const auto& [route, served] : on.by_kind)
    EXPECT_GE(served.Share(), on.all.Share() / 2) << route;
}

// Guards against a forecast that refuses jobs while capacity is free.
TEST(AdmissionForecastTest, NothingIsRefusedWhileRoomIsFree) {
  const PlayedLoad off = PlayLoad(MakeOptions(false), 1.0, 1);
  const PlayedLoad on = PlayLoad(MakeOptions(true), 1.0, 1);
  EXPECT_EQ(on.counters.forecast_refusals, 0U);
  EXPECT_EQ(on.all.in_time, off.all.in_time);
}

// Guards against a forecast from what is not known yet: after a pause, while an
// endpoint is reconciled, and for routes with few samples.
TEST(AdmissionForecastTest, NothingIsRefusedWhileLittleIsKnown) {
  SchedulerWorld world;
  PlayOverload(world);
  EXPECT_GT(world.scheduler.counters.forecast_refusals, 0U);
  const auto count = [](const Scheduler& scheduler, Millis now) {
    return ChooseJobsToRefuse(scheduler, now).size();
  };
  const Millis now = world.now + Millis{60};
  EXPECT_GT(count(world.scheduler, now), 0U);
  Scheduler paused = world.scheduler;
  paused.resumed_at = now - Millis{500};
  EXPECT_EQ(count(paused, now), 0U);
  Scheduler reconciling = world.scheduler;
  reconciling.endpoints.begin()->second.status = EndpointStatus::kReconciling;
  EXPECT_EQ(count(reconciling, now), 0U);
  Scheduler regained = world.scheduler;
  regained.endpoints.begin()->second.status_since = now - Millis{500};
  EXPECT_EQ(count(regained, now), 0U);
  Scheduler inexperienced = world.scheduler;
  inexperienced.run_times = RunTimes();
  EXPECT_EQ(count(inexperienced, now), 0U);
}

// Guards against the end of a job of which something runs or may run: its
// refusal would say that nothing has.
TEST(AdmissionForecastTest, JobsThatMayHaveStartedAreKept) {
  SchedulerWorld world;
  PlayOverload(world);
  const Millis now = world.now + Millis{60};
  for (auto& [id, job] : world.scheduler.jobs)
    job.may_have_started = true;
  EXPECT_TRUE(ChooseJobsToRefuse(world.scheduler, now).empty());
  for (auto& [id, job] : world.scheduler.jobs) {
    job.may_have_started = false;
    job.has_started = true;
  }
  EXPECT_TRUE(ChooseJobsToRefuse(world.scheduler, now).empty());
}

// Guards against a zone of callers that is refused more because its jobs come
// later in the queue, though less of its demand was served.
TEST(AdmissionForecastTest, ZoneThatWasServedLessIsRefusedLess) {
  for (const char* starved : {"north", "south"}) {
    SchedulerWorld world;
    PlayOverload(world);
    Scheduler& scheduler = world.scheduler;
    AdmissionState& admission = scheduler.admission;
    admission.daemon_zones = {{DaemonId("d1"), ZoneId("north")},
                              {DaemonId("d2"), ZoneId("south")}};
    admission.shares.clear();
    admission.large_job_sizes.clear();
    // Little is expected to arrive, so that some of the queue can be served.
    for (const char* zone : {"north", "south"})
      admission.shares[{ZoneId(zone), "route", false}] = {
          100, std::string(zone) == starved ? 20.0 : 80.0, world.now};
    for (auto& [id, job] : scheduler.jobs) {
      if (StableHash(id.value) % 2 == 0)
        job.receiver.id = DaemonId("d2");
    }
    std::map<ZoneId, int> refused;
    std::map<ZoneId, int> queued;
    for (const JobOrderKey& key : scheduler.queue)
      ++queued[admission.daemon_zones.at(
          scheduler.jobs.at(key.second).receiver.id)];
    for (const SubmissionId& id :
         ChooseJobsToRefuse(scheduler, world.now + Millis{60}))
      ++refused[admission.daemon_zones.at(scheduler.jobs.at(id).receiver.id)];
    const ZoneId starved_zone(starved);
    const ZoneId other_zone(std::string(starved) == "north" ? "south"
                                                            : "north");
    EXPECT_GT(refused[other_zone], 0);
    EXPECT_LT(refused[starved_zone] * queued[other_zone],
              refused[other_zone] * queued[starved_zone])
        << starved;
  }
}

ScheduledJob MakeRefusedJob(int number, uint32_t priority, Millis received_at) {
  ScheduledJob job;
  job.job = SchedulerWorld::MakeSubmission("job" + std::to_string(number), 2, 7,
                                           {100}, "route")
                .job;
  job.job.priority = priority;
  job.received_at = received_at;
  return job;
}

// Guards against callers that are refused together and return together, and
// against a header that is rounded beyond its bounds.
TEST(AdmissionForecastTest, RetriesAreSpreadOverWholeSeconds) {
  SchedulerWorld world;
  PlayOverload(world);
  world.scheduler.admission.starts_per_s = 20;
  constexpr int kJobs = 400;
  std::map<int64_t, int> returning;
  for (int i = 0; i < kJobs; ++i) {
    const Millis retry_after = ComputeRetryAfter(
        world.scheduler, MakeRefusedJob(i, 0, world.now), world.now);
    EXPECT_EQ(retry_after.count % 1'000, 0);
    EXPECT_GE(retry_after.count, 1'000);
    EXPECT_LE(retry_after.count, 10'000);
    ++returning[retry_after.count];
  }
  EXPECT_GE(returning.size(), 5U);
  for (const auto& [after_ms, jobs] : returning)
    EXPECT_LE(jobs, kJobs / 3) << after_ms;
}

// Guards against callers of high priority, or those that have waited long, that
// return behind the others.
TEST(AdmissionForecastTest, HighPriorityAndLongWaitReturnEarlier) {
  SchedulerWorld world;
  PlayOverload(world);
  const auto mean = [&](uint32_t priority, Millis waited) {
    constexpr int kJobs = 200;
    double sum = 0;
    for (int i = 0; i < kJobs; ++i)
      sum += static_cast<double>(
          ComputeRetryAfter(world.scheduler,
                            MakeRefusedJob(i, priority, world.now - waited),
                            world.now)
              .count);
    return sum / kJobs;
  };
  EXPECT_LT(mean(0, {0}), mean(1, {0}));
  EXPECT_LT(mean(1, {0}), mean(3, {0}));
  EXPECT_LT(mean(1, {1'000}), mean(1, {0}));
}

}  // namespace
}  // namespace dogwoodfall
