#include "core/scheduling/speed_learning.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "core/scheduling/job_order.h"

namespace dogwoodfall {
namespace {

/** Weight of what is expected of a job against one of its tasks. Jobs differ
 * from it by a factor of 1.3, tasks of a job from each other by 1.17: the
 * squares of the logarithms are as 0.03 to 0.08.
 */
constexpr double kExpectedWeight = 0.4;
/** Weight of one run in the learned speed of its endpoint. */
constexpr double kSpeedGain = 0.2;
/** Weight of a run that lags far behind; two of them must be enough. */
constexpr double kLaggardGain = 0.5;
/** Weight of one run in the share of failures; a failing endpoint has to show
 * after two or three runs.
 */
constexpr double kFailureGain = 0.3;
/** Bounds of a learned slowness. */
constexpr double kLeastSlowness = 0.2;
constexpr double kMostSlowness = 20;
/** Endpoints this much slower than the usual one get no work that has to be in
 * time, so that nothing is learned of them: they come back with time.
 */
constexpr double kGivenUpFactor = 2.5;
/** Time in which an endpoint given up comes half the way back; bad spells last
 * 4 to 8 s.
 */
constexpr double kComeBackHalfMs = 1'500;
/** Share of its work from which on a run tells how long it takes. */
constexpr int kTellingPercent = 15;

double Bounded(double slowness) {
  return std::clamp(slowness, kLeastSlowness, kMostSlowness);
}

/** Sum of logarithms of run times at slowness 1, and their number. */
struct LogSum {
  double sum = 0;
  double count = 0;
};

void AddSample(LogSum& sum, double time_ms) {
  sum.sum += std::log(std::max(time_ms, 1.0));
  sum.count += 1;
}

LogSum SumOf(const Scheduler& scheduler,
             const ScheduledJob& job,
             uint32_t step,
             const RunKey* except) {
  LogSum sum;
  for (uint32_t index = 0; index < job.tasks[step].size(); ++index) {
    const TaskProgress& task = job.tasks[step][index];
    const auto endpoint = scheduler.endpoints.find(task.endpoint);
    if (endpoint == scheduler.endpoints.end())
      continue;
    if (task.phase == TaskPhase::kDone && task.run_time > Millis()) {
      AddSample(sum, static_cast<double>(task.run_time.count) /
                         endpoint->second.slowness);
    }
    if (task.phase != TaskPhase::kPlaced)
      continue;
    const RunKey key{{job.job.id, step, index}, task.attempt};
    const auto run = endpoint->second.runs.find(key);
    const bool counts = run != endpoint->second.runs.end() &&
                        run->second.percent >= kTellingPercent &&
                        (except == nullptr || *except != key);
    if (counts) {
      AddSample(sum, ProjectedTime(run->second, run->second.percent_at) /
                         endpoint->second.slowness);
    }
  }
  return sum;
}

Millis Combine(const LogSum& sum, Millis expected) {
  const double prior =
      std::log(static_cast<double>(std::max<int64_t>(expected.count, 1)));
  const double mean =
      (sum.sum + kExpectedWeight * prior) / (sum.count + kExpectedWeight);
  return Millis{std::max<int64_t>(std::llround(std::exp(mean)), 1)};
}

void Learn(ManagedEndpoint& endpoint, double times_usual, double gain) {
  endpoint.slowness =
      Bounded(endpoint.slowness * std::pow(std::max(times_usual, 0.01), gain));
}

}  // namespace

double ProjectedTime(const Run& run, Millis now) {
  constexpr double kWhole = 100;
  if (run.percent <= 0)
    return kWhole * static_cast<double>((now - run.ordered_at).count);
  return kWhole * static_cast<double>((run.percent_at - run.ordered_at).count) /
         run.percent;
}

Millis TaskTimeOf(const Scheduler& scheduler,
                  const ScheduledJob& job,
                  uint32_t step,
                  const RunKey* except) {
  const Millis expected =
      ExpectedTaskTime(scheduler.run_times, job.job, job.job.steps[step]);
  return Combine(SumOf(scheduler, job, step, except), expected);
}

void LearnFromJob(Scheduler& scheduler, const ScheduledJob& job) {
  for (uint32_t step = 0; step < job.tasks.size(); ++step) {
    // The declared time is a weak anchor that keeps all speeds from drifting.
    const Millis declared = job.job.steps[step].declared_run_time;
    const Millis usual =
        Combine(SumOf(scheduler, job, step, nullptr), declared);
    for (const TaskProgress& task : job.tasks[step]) {
      const auto endpoint = scheduler.endpoints.find(task.endpoint);
      if (endpoint == scheduler.endpoints.end() || task.run_time <= Millis())
        continue;
      const double times_usual =
          static_cast<double>(task.run_time.count) /
          (endpoint->second.slowness * static_cast<double>(usual.count));
      Learn(endpoint->second, times_usual, kSpeedGain);
    }
    RecordRunTime(scheduler.run_times, CustomerId(job.job.service),
                  job.job.route, usual, 1);
  }
}

void LearnFromLaggard(ManagedEndpoint& endpoint, double times_usual) {
  Learn(endpoint, std::min(times_usual, kMostSlowness), kLaggardGain);
}

void LearnFromFailure(ManagedEndpoint& endpoint) {
  endpoint.failure_share += kFailureGain * (1 - endpoint.failure_share);
}

void LearnFromSuccess(ManagedEndpoint& endpoint) {
  endpoint.failure_share *= 1 - kFailureGain;
}

void ReviewSpeeds(Scheduler& scheduler, Millis now) {
  const auto passed =
      static_cast<double>((now - scheduler.speeds_reviewed).count);
  scheduler.speeds_reviewed = now;
  std::vector<double> sorted;
  TaskResources all;
  TaskResources used;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.status != EndpointStatus::kUsable)
      continue;
    sorted.push_back(endpoint.slowness);
    all = all + endpoint.entry.capacity;
    used = used + endpoint.used;
  }
  scheduler.load = all.cpu_millicores > 0
                       ? std::clamp(static_cast<double>(used.cpu_millicores) /
                                        static_cast<double>(all.cpu_millicores),
                                    0.0, 1.0)
                       : 0;
  if (sorted.empty())
    return;
  std::sort(sorted.begin(), sorted.end());
  constexpr size_t kFastPart = 8;
  scheduler.fast_slowness = sorted[sorted.size() / kFastPart];
  const double usual = sorted[sorted.size() / 2];
  scheduler.usual_slowness = usual;
  for (auto& [id, endpoint] : scheduler.endpoints) {
    endpoint.failure_share *= std::exp2(-passed / kComeBackHalfMs);
    const double given_up = kGivenUpFactor * usual;
    if (endpoint.slowness <= given_up || passed > kComeBackHalfMs)
      continue;
    endpoint.slowness =
        given_up * std::pow(endpoint.slowness / given_up,
                            std::exp2(-passed / kComeBackHalfMs));
  }
}

}  // namespace dogwoodfall
