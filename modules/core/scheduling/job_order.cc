#include "core/scheduling/job_order.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dogwoodfall {
namespace {

/** Puts late jobs behind all others; larger than any time in ms. */
constexpr int64_t kLateBand = int64_t{1} << 60;
/** Time from a start to its end that is not run time: two ways to the endpoint
 * and one to the receiver, at 1 ms each, and their handling.
 */
constexpr Millis kOrderTime{6};
/** Standard deviation of the logarithm of run times among a job's tasks. */
constexpr double kTaskSpread = 0.15;
/** Part of the run time that is kept as a margin beside the width. */
constexpr double kRunTimeMargin = 1.05;
/** Samples of a route after which what was learned counts. */
constexpr uint32_t kEnoughSamples = 5;

}  // namespace

Millis ExpectedTaskTime(const RunTimes& times,
                        const TransientJob& job,
                        const JobStep& step) {
  const auto declared =
      static_cast<double>(std::max<int64_t>(step.declared_run_time.count, 1));
  const RunTimeEstimate* learned =
      FindRunTimeEstimate(times, CustomerId(job.service), job.route);
  if (learned == nullptr || learned->samples < kEnoughSamples)
    return Millis{std::llround(declared)};
  // Declared times are off by about as much as jobs of a route differ, so both
  // say equally much; the errors are factors, hence the geometric mean.
  const double mean = std::max(learned->mean_ms, 1.0);
  return Millis{std::max<int64_t>(std::llround(std::sqrt(declared * mean)), 1)};
}

double WidthFactor(uint32_t tasks) {
  // The largest of n normal values lies near sqrt(2 ln n) deviations; for the
  // few tasks of usual jobs it is three quarters of that.
  constexpr double kFewTasks = 0.75;
  return std::exp(kFewTasks * kTaskSpread *
                  std::sqrt(2 * std::log(std::max(tasks, 1U))));
}

Millis EstimateJobRunTime(const RunTimes& times, const TransientJob& job) {
  std::vector<Millis> ends;
  Millis longest;
  for (const JobStep& step : job.steps) {
    Millis begin;
    for (const uint32_t earlier : step.after)
      begin = std::max(begin, ends[earlier]);
    ends.push_back(begin + ExpectedTaskTime(times, job, step));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

void SetJobTimes(ScheduledJob& job,
                 const RunTimes& times,
                 double fastest_slowness,
                 Millis now) {
  const Millis expected = EstimateJobRunTime(times, job.job);
  const auto objective =
      std::llround(job.job.stretch * static_cast<double>(expected.count)) +
      job.job.target_latency.count;
  job.received = now - job.job.age;
  job.caller_deadline = now + job.job.time_left;
  job.objective_at = job.received + Millis{objective};
  uint32_t widest = 1;
  for (const JobStep& step : job.job.steps)
    widest = std::max(widest, step.task_count);
  const double margin = kRunTimeMargin * WidthFactor(widest);
  job.latest_start = std::min(job.objective_at, job.caller_deadline) -
                     kOrderTime -
                     Millis{std::llround(margin * fastest_slowness *
                                         static_cast<double>(expected.count))};
}

JobOrderKey OrderKeyOf(const ScheduledJob& job, Millis now) {
  const bool is_late = job.latest_start < now;
  return {job.latest_start.count + (is_late ? kLateBand : 0), job.job.id};
}

}  // namespace dogwoodfall
