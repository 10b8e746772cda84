#include "core/scheduling/job_order.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dogwoodfall {
namespace {

/** Added to the keys of late jobs to sort them behind all others; larger than
 * any time in ms.
 */
constexpr int64_t kLateJobOffset = int64_t{1} << 60;
/** Time between start and result that is not run time: a round trip to the
 * endpoint and a message to the receiver, at 1 ms one-way latency each, and
 * their processing.
 */
constexpr Millis kCommandOverhead{6};
/** Standard deviation of the logarithm of run times between the tasks of a job.
 */
constexpr double kTaskRunTimeLogDeviation = 0.15;
/** Safety factor on the run time, in addition to SlowestTaskFactor(). */
constexpr double kRunTimeSafetyFactor = 1.05;
/** Minimum number of samples of a route for its learned run time to be used. */
constexpr uint32_t kMinSamples = 5;

}  // namespace

Millis EstimateTaskRunTime(const RunTimes& times,
                           const TransientJob& job,
                           const JobStep& step) {
  const RunTimeDistribution* distribution =
      FindDistribution(times.distributions, job.route);
  if (distribution != nullptr)
    return GetExpectedRunTime(
        PredictRunTime(*distribution, step.declared_run_time));
  const auto declared_ms =
      static_cast<double>(std::max<int64_t>(step.declared_run_time.count, 1));
  const RunTimeEstimate* estimate =
      FindRunTimeEstimate(times, CustomerId(job.service), job.route);
  if (estimate == nullptr || estimate->samples < kMinSamples)
    return Millis{std::llround(declared_ms)};
  // Declared run times are about as inaccurate as jobs of a route differ, so
  // both get the same weight. The errors are factors, hence a geometric mean.
  const double mean_ms = std::max(estimate->mean_ms, 1.0);
  return Millis{
      std::max<int64_t>(std::llround(std::sqrt(declared_ms * mean_ms)), 1)};
}

double SlowestTaskFactor(uint32_t tasks) {
  // The maximum of n normally distributed values is near sqrt(2 ln n) standard
  // deviations; for the small n of typical jobs it is three quarters of that.
  constexpr double kSmallSampleFactor = 0.75;
  return std::exp(kSmallSampleFactor * kTaskRunTimeLogDeviation *
                  std::sqrt(2 * std::log(std::max(tasks, 1U))));
}

Millis EstimateJobRunTime(const RunTimes& times, const TransientJob& job) {
  std::vector<Millis> ends;
  Millis max_end;
  for (const JobStep& step : job.steps) {
    Millis start;
    for (const uint32_t earlier : step.after)
      start = std::max(start, ends[earlier]);
    ends.push_back(start + EstimateTaskRunTime(times, job, step));
    max_end = std::max(max_end, ends.back());
  }
  return max_end;
}

void PredictRunTimes(ScheduledJob& job, const RunTimes& times) {
  job.run_times.clear();
  const RunTimeDistribution* distribution =
      FindDistribution(times.distributions, job.job.route);
  if (distribution == nullptr)
    return;
  for (const JobStep& step : job.job.steps) {
    job.run_times.push_back(
        PredictRunTime(*distribution, step.declared_run_time));
  }
}

void SetJobDeadlines(ScheduledJob& job,
                     const RunTimes& times,
                     double fast_slowness,
                     Millis now) {
  const Millis expected_run_time = EstimateJobRunTime(times, job.job);
  const auto objective_ms =
      std::llround(job.job.stretch *
                   static_cast<double>(expected_run_time.count)) +
      job.job.target_latency.count;
  job.received_at = now - job.job.age;
  job.caller_deadline = now + job.job.time_left;
  job.objective_deadline = ReceivedBy(job) + Millis{objective_ms};
  uint32_t max_task_count = 1;
  for (const JobStep& step : job.job.steps)
    max_task_count = std::max(max_task_count, step.task_count);
  const double margin =
      kRunTimeSafetyFactor * SlowestTaskFactor(max_task_count);
  job.latest_start =
      std::min(job.objective_deadline, job.caller_deadline) - kCommandOverhead -
      Millis{std::llround(margin * fast_slowness *
                          static_cast<double>(expected_run_time.count))};
}

JobOrderKey MakeOrderKey(const ScheduledJob& job, Millis now) {
  const bool is_late = job.latest_start < now;
  return {job.latest_start.count + (is_late ? kLateJobOffset : 0), job.job.id};
}

}  // namespace dogwoodfall
