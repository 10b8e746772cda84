#include <gtest/gtest.h>

#include <string>

#include "core/dispatch/run_time_distribution.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

/** Distributions of a route with jobs of 100 ms, of which a share takes 700 ms.
 */
RunTimeDistributions MakeDistributions(int long_jobs_in_100) {
  RunTimeDistributions distributions;
  for (int i = 0; i < 400; ++i) {
    const bool is_long = i % 100 < long_jobs_in_100;
    AddRunTime(distributions, "route", is_long ? Millis{700} : Millis{100});
  }
  return distributions;
}

Millis EstimateOf(const RunTimeDistributions& distributions, Millis declared) {
  return GetExpectedRunTime(
      PredictRunTime(*FindDistribution(distributions, "route"), declared));
}

// A caller that declares too much on a route without long jobs must not get its
// job treated as long, and one that declares a long job on a route with some
// must not get it treated as short.
TEST(LongJobsTest, LongDeclaredRunTimeIsTrustedWhereTheRouteHasLongJobs) {
  EXPECT_GT(EstimateOf(MakeDistributions(3), {700}), Millis{500});
  EXPECT_LT(EstimateOf(MakeDistributions(0), {250}), Millis{150});
  EXPECT_NEAR(static_cast<double>(EstimateOf(MakeDistributions(3), {90}).count),
              100, 20);
}

// Extreme declarations must not leave a job without any probability.
TEST(LongJobsTest, ProbabilitiesOfExtremeDeclarationsSumToOne) {
  const RunTimeDistributions distributions = MakeDistributions(3);
  for (const Millis declared : {Millis{0}, Millis{1}, Millis{1LL << 60}}) {
    const RunTimeProbabilities probabilities =
        PredictRunTime(*FindDistribution(distributions, "route"), declared);
    EXPECT_NEAR(ProbabilityOfAtMost(probabilities, {1'000'000'000}), 1, 1e-6);
    EXPECT_EQ(ProbabilityOfAtMost(probabilities, {0}), 0);
  }
}

// Routes come from a configuration that may change all the time; their
// distributions must not take memory without a bound.
TEST(LongJobsTest, NumberOfDistributionsIsBounded) {
  RunTimeDistributions distributions;
  for (int i = 0; i < 3'000; ++i)
    AddRunTime(distributions, "route" + std::to_string(i), {100});
  EXPECT_LE(distributions.by_route.size(), 1'000U);
}

/** A scheduler with four sound endpoints that has seen 80 jobs of four tasks of
 * 100 ms, and one endpoint more that has run nothing.
 */
SchedulerWorld MakeWorld() {
  SchedulerWorld world;
  world.scheduler.options.long_jobs = true;
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.Run({20});
  for (int i = 0; i < 80; ++i) {
    world.Submit("usual" + std::to_string(i), 4, 7, {100});
    world.Run({120});
  }
  return world;
}

JobResult ResultOf(const SchedulerWorld& world, const std::string& id) {
  return world.results.at(SubmissionId(id)).outcome.result;
}

// A job whose tasks all take seven times as long as declared must not be
// stopped and started again: it would take as long elsewhere, and all work done
// be lost.
TEST(LongJobsTest, RunsOfALongJobAreNotStopped) {
  SchedulerWorld world = MakeWorld();
  world.SubmitJob(SchedulerWorld::MakeSubmission("long", 4, 7, {100}, "route"),
                  {700});
  world.Run({900});
  ASSERT_EQ(world.results.count(SubmissionId("long")), 1U);
  EXPECT_EQ(ResultOf(world, "long"), JobResult::kCompleted);
  EXPECT_EQ(world.scheduler.counters.overdue_runs, 0U);
}

// The same for a job of one task, which has no other tasks to compare with,
// beside a run of another job that shows that the endpoint is sound.
TEST(LongJobsTest, SoundNeighbourShowsThatASingleTaskIsLong) {
  SchedulerWorld world = MakeWorld();
  for (int i = 1; i < 4; ++i)
    world.scheduler.endpoints.at(EndpointId("e" + std::to_string(i)))
        .entry.draining = true;
  world.SubmitJob(
      SchedulerWorld::MakeSubmission("neighbour", 1, 7, {600}, "other"), {600});
  world.SubmitJob(SchedulerWorld::MakeSubmission("long", 1, 7, {100}, "route"),
                  {650});
  world.Run({800});
  ASSERT_EQ(world.results.count(SubmissionId("long")), 1U);
  EXPECT_EQ(ResultOf(world, "long"), JobResult::kCompleted);
  EXPECT_EQ(world.scheduler.counters.overdue_runs, 0U);
}

// An endpoint that has become slow must still be found, though some jobs of the
// route are long.
TEST(LongJobsTest, RunsOnASlowEndpointAreStopped) {
  SchedulerWorld world = MakeWorld();
  world.endpoints.at(EndpointId("e0")).slowness = 8;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "after" + std::to_string(i);
    world.Submit(id, 6, 7, {100});
    world.Run({500});
    EXPECT_EQ(ResultOf(world, id), JobResult::kCompleted);
  }
  EXPECT_GT(world.scheduler.counters.overdue_runs, 0U);
}

// A job of which the first reports show that it can't be in time anywhere must
// be ended then, not after most of its caller's time, and not be run again.
TEST(LongJobsTest, JobThatIsTooLongIsEndedByItsFirstReports) {
  SchedulerWorld world = MakeWorld();
  world.SubmitJob(
      SchedulerWorld::MakeSubmission("too_long", 4, 7, {100}, "route"),
      {6'000});
  world.Run({450});
  ASSERT_EQ(world.results.count(SubmissionId("too_long")), 1U);
  EXPECT_EQ(ResultOf(world, "too_long"), JobResult::kAbandoned);
  EXPECT_EQ(world.scheduler.counters.overdue_runs, 0U);
}

// Long jobs that are abandoned must be learned all the same. Otherwise a route
// looks as if it had none, and the next ones are tried in vain.
TEST(LongJobsTest, JobsThatAreTooLongAreRefusedOnceTheyAreKnown) {
  SchedulerWorld world = MakeWorld();
  for (int i = 0; i < 8; ++i) {
    world.SubmitJob(SchedulerWorld::MakeSubmission("tried" + std::to_string(i),
                                                   4, 7, {6'000}, "route"),
                    {6'000});
    world.Run({500});
  }
  world.SubmitJob(
      SchedulerWorld::MakeSubmission("next", 4, 7, {6'000}, "route"), {6'000});
  world.Run({5});
  ASSERT_EQ(world.results.count(SubmissionId("next")), 1U);
  EXPECT_EQ(ResultOf(world, "next"), JobResult::kRefused);
}

// The queue is reviewed with each reply of an endpoint. Predicting the run
// times of all that wait there each time would overload the daemon when it is
// longest.
TEST(LongJobsTest, RunTimesOfAWaitingJobArePredictedOnce) {
  constexpr uint64_t kJobs = 60;
  SchedulerWorld world = MakeWorld();
  const uint64_t before = world.scheduler.counters.run_time_predictions;
  for (uint64_t i = 0; i < kJobs; ++i)
    world.Submit("waiting" + std::to_string(i), 4, 7, {100});
  world.Run({300});
  EXPECT_GT(world.scheduler.queue.size(), kJobs / 2);
  EXPECT_EQ(world.scheduler.counters.run_time_predictions - before, kJobs);
}

}  // namespace
}  // namespace dogwoodfall
