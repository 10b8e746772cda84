#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

/** A kind of job; sizes vary log-normally around the means. */
struct JobKind {
  std::string route;
  double mean_tasks = 1;
  double mean_run_time_ms = 0;
  /** Share of all jobs. */
  double share = 0;
};

/** A job of the kind under test. */
struct SubmittedJob {
  SubmissionId id;
  double work_ms = 0;
};

/** Standard deviation of the logarithms of job sizes and declared run times. */
constexpr double kSizeLogDeviation = 0.4;
constexpr double kMaxSizeFactor = 4;

class RandomSizes {
 public:
  explicit RandomSizes(uint32_t seed) : generator(seed) {}

  /** Returns a number above 0 and up to 1. */
  double NextUniform() {
    return (static_cast<double>(this->generator()) + 1) / 4'294'967'296.0;
  }

  /** Returns a log-normal factor of mean 1. */
  double NextFactor() {
    constexpr double kTwoPi = 6.283185307179586;
    const double normal = std::sqrt(-2 * std::log(this->NextUniform())) *
                          std::cos(kTwoPi * this->NextUniform());
    return std::min(std::exp(kSizeLogDeviation * normal -
                             kSizeLogDeviation * kSizeLogDeviation / 2),
                    kMaxSizeFactor);
  }

  Millis NextInterval(double per_second) {
    return Millis{
        std::llround(-1'000 / per_second * std::log(this->NextUniform()))};
  }

 private:
  std::mt19937 generator;
};

/** Adds endpoints of which a quarter is fast, each with room for two or three
 * tasks of 7 cores.
 */
void AddEndpoints(SchedulerWorld& world) {
  for (int i = 0; i < 12; ++i) {
    world.AddEndpoint("e" + std::to_string(i), i % 3 == 2 ? 24 : 16,
                      i % 4 == 0 ? 0.55 : 1.2);
  }
  world.Run({20});
}

double ComputeServedShare(const SchedulerWorld& world,
                          std::vector<SubmittedJob>::const_iterator begin,
                          std::vector<SubmittedJob>::const_iterator end) {
  const auto served =
      std::count_if(begin, end, [&world](const SubmittedJob& job) {
        const auto result = world.results.find(job.id);
        return result != world.results.end() &&
               result->second.outcome.result == JobResult::kCompleted;
      });
  return static_cast<double>(served) / static_cast<double>(end - begin);
}

/** Submits a mix of kinds of jobs at random times and returns the jobs of the
 * last kind.
 */
std::vector<SubmittedJob> SubmitMix(SchedulerWorld& world,
                                    const std::vector<JobKind>& kinds,
                                    double per_second,
                                    Millis duration,
                                    uint32_t seed) {
  constexpr int64_t kCores = 7;
  RandomSizes random(seed);
  std::vector<SubmittedJob> jobs;
  const Millis end = world.now + duration;
  for (int sent = 0; world.now < end; ++sent) {
    double choice = random.NextUniform();
    size_t kind_index = 0;
    while (kind_index + 1 < kinds.size() && choice > kinds[kind_index].share)
      choice -= kinds[kind_index++].share;
    const JobKind& kind = kinds[kind_index];
    const auto tasks = static_cast<uint32_t>(
        std::max(std::llround(kind.mean_tasks * random.NextFactor()), 1LL));
    const double run_time_ms = kind.mean_run_time_ms * random.NextFactor();
    const double declared_ms = run_time_ms * random.NextFactor();
    const std::string id = kind.route + std::to_string(sent);
    world.SubmitJob(
        SchedulerWorld::MakeSubmission(
            id, tasks, kCores, Millis{std::llround(declared_ms)}, kind.route),
        Millis{std::llround(run_time_ms)});
    if (kind_index + 1 == kinds.size())
      jobs.push_back({SubmissionId(id), tasks * run_time_ms});
    world.Run(random.NextInterval(per_second));
  }
  world.Run({2'000});
  return jobs;
}

/** Its parameters are the jobs per second and the seed. */
class LargeJobsTest
    : public testing::TestWithParam<std::tuple<double, uint32_t>> {};

// A day fails if the largest tenth of a kind of request is served less than
// half as often as the whole kind.
TEST_P(LargeJobsTest, LargestTenthIsServedAtLeastHalfAsOftenAsAllNearFullLoad) {
  const std::vector<JobKind> kinds = {{"check", 2, 200, 0.711},
                                      {"match", 8, 60, 0.245},
                                      {"score", 4, 900, 0.044}};
  SchedulerWorld world;
  AddEndpoints(world);
  const auto [per_second, seed] = GetParam();
  std::vector<SubmittedJob> jobs =
      SubmitMix(world, kinds, per_second, {150'000}, seed);
  std::sort(jobs.begin(), jobs.end(),
            [](const SubmittedJob& a, const SubmittedJob& b) {
              return a.work_ms > b.work_ms;
            });
  const auto tenth = static_cast<std::ptrdiff_t>(jobs.size() / 10);
  const double of_all = ComputeServedShare(world, jobs.begin(), jobs.end());
  const double of_largest =
      ComputeServedShare(world, jobs.begin(), jobs.begin() + tenth);
  EXPECT_GE(of_largest, of_all / 2);
}

// The endpoints can run about 54 jobs of this mix per second.
INSTANTIATE_TEST_SUITE_P(Loads,
                         LargeJobsTest,
                         testing::Combine(testing::Values(45.0, 55.0),
                                          testing::Values(1U, 2U, 3U)));

}  // namespace
}  // namespace dogwoodfall
