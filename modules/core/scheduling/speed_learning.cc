#include "core/scheduling/speed_learning.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "core/scheduling/endpoint_kinds.h"
#include "core/scheduling/job_order.h"
#include "core/scheduling/slow_run_cause.h"

namespace dogwoodfall {
namespace {

/** Weight of the expected run time relative to one task of the job. Jobs differ
 * from the expected run time by a factor of 1.3 and tasks of a job from each
 * other by 1.17. The weight is the ratio of the variances of the logarithms,
 * about 0.03 divided by 0.08.
 */
constexpr double kPriorWeight = 0.4;
/** Weight of one run in the learned slowness of its endpoint. */
constexpr double kSpeedSmoothing = 0.2;
/** Weight of an overdue run in the learned slowness. It is higher, so that two
 * such runs suffice to detect a slow endpoint.
 */
constexpr double kStragglerSmoothing = 0.5;
/** Weight of one run in the failure share. A failing endpoint must be detected
 * after two or three runs.
 */
constexpr double kFailureSmoothing = 0.3;
/** Bounds of the learned slowness. */
constexpr double kMinSlowness = 0.2;
constexpr double kMaxSlowness = 20;
/** Half-life of the failure share and of the excess slowness of an endpoint.
 * Endpoints are typically slow or failing for 4 to 8 s.
 */
constexpr double kRecoveryHalfLifeMs = 1'500;
/** Time without a run of a route after which its learned run times are not used
 * for refusing its jobs.
 */
constexpr Millis kMaxTimeWithoutRun{1'000};

double ClampSlowness(double slowness) {
  return std::clamp(slowness, kMinSlowness, kMaxSlowness);
}

/** Sum of the logarithms of run times at slowness 1, and their number. */
struct LogSum {
  double sum = 0;
  double count = 0;
};

void AddSample(LogSum& log_sum, double run_time_ms) {
  log_sum.sum += std::log(std::max(run_time_ms, 1.0));
  log_sum.count += 1;
}

LogSum SumLogRunTimes(const Scheduler& scheduler,
                      const ScheduledJob& job,
                      uint32_t step,
                      const RunKey* excluded_run) {
  const int min_percent = GetMinProjectionPercent(scheduler);
  LogSum log_sum;
  for (uint32_t index = 0; index < job.tasks[step].size(); ++index) {
    const TaskProgress& task = job.tasks[step][index];
    const auto endpoint = scheduler.endpoints.find(task.endpoint);
    if (endpoint == scheduler.endpoints.end())
      continue;
    if (task.phase == TaskPhase::kDone && task.run_time > Millis()) {
      AddSample(log_sum, static_cast<double>(task.run_time.count) /
                             endpoint->second.slowness);
    }
    if (task.phase != TaskPhase::kPlaced)
      continue;
    const RunKey key{{job.job.id, step, index}, task.attempt};
    const auto run = endpoint->second.runs.find(key);
    const bool is_counted = run != endpoint->second.runs.end() &&
                            run->second.percent >= min_percent &&
                            (excluded_run == nullptr || *excluded_run != key);
    if (is_counted) {
      AddSample(log_sum,
                ProjectRunTime(run->second) / endpoint->second.slowness);
    }
  }
  return log_sum;
}

Millis CombineWithPrior(const LogSum& log_sum, Millis expected_run_time) {
  const double log_prior = std::log(
      static_cast<double>(std::max<int64_t>(expected_run_time.count, 1)));
  const double mean =
      (log_sum.sum + kPriorWeight * log_prior) / (log_sum.count + kPriorWeight);
  return Millis{std::max<int64_t>(std::llround(std::exp(mean)), 1)};
}

void UpdateSlowness(ManagedEndpoint& endpoint,
                    double slowdown,
                    double smoothing) {
  endpoint.slowness = ClampSlowness(
      endpoint.slowness * std::pow(std::max(slowdown, 0.01), smoothing));
}

}  // namespace

double ProjectRunTime(const Run& run) {
  constexpr double kFullPercent = 100;
  return kFullPercent *
         static_cast<double>(
             (run.percent_updated_at - run.start_sent_at).count) /
         std::max(run.percent, 1);
}

int GetMinProjectionPercent(const Scheduler& scheduler) {
  return scheduler.options.long_jobs ? kMinSpeedPercent : kMinProjectionPercent;
}

Millis EstimateStepRunTime(const Scheduler& scheduler,
                           const ScheduledJob& job,
                           uint32_t step,
                           const RunKey* excluded_run) {
  const Millis expected_run_time =
      job.run_times.empty() ? EstimateTaskRunTime(scheduler.run_times, job.job,
                                                  job.job.steps[step])
                            : GetExpectedRunTime(job.run_times[step]);
  return CombineWithPrior(SumLogRunTimes(scheduler, job, step, excluded_run),
                          expected_run_time);
}

void LearnFromJob(Scheduler& scheduler, const ScheduledJob& job, Millis now) {
  RecordRouteActivity(scheduler, job.job.route, now);
  for (uint32_t step = 0; step < job.tasks.size(); ++step) {
    // The declared run time is included with a low weight to keep the slowness
    // of all endpoints from drifting together.
    const Millis declared = job.job.steps[step].declared_run_time;
    const Millis expected_run_time = CombineWithPrior(
        SumLogRunTimes(scheduler, job, step, nullptr), declared);
    for (const TaskProgress& task : job.tasks[step]) {
      const auto endpoint = scheduler.endpoints.find(task.endpoint);
      if (endpoint == scheduler.endpoints.end() || task.run_time <= Millis())
        continue;
      const double slowdown = static_cast<double>(task.run_time.count) /
                              (endpoint->second.slowness *
                               static_cast<double>(expected_run_time.count));
      const double weight = CountObservedRun(scheduler.options,
                                             endpoint->second, kSpeedSmoothing);
      UpdateSlowness(endpoint->second, slowdown, weight);
    }
    RecordRunTime(scheduler.run_times, CustomerId(job.job.service),
                  job.job.route, expected_run_time, 1);
    if (scheduler.options.long_jobs)
      AddRunTime(scheduler.run_times.distributions, job.job.route,
                 expected_run_time);
  }
}

void LearnFromAbandonedJob(Scheduler& scheduler, const ScheduledJob& job) {
  if (!scheduler.options.long_jobs)
    return;
  for (uint32_t step = 0; step < job.tasks.size(); ++step) {
    const LogSum log_sum = SumLogRunTimes(scheduler, job, step, nullptr);
    if (log_sum.count == 0)
      continue;
    AddRunTime(
        scheduler.run_times.distributions, job.job.route,
        CombineWithPrior(log_sum, job.job.steps[step].declared_run_time));
  }
}

void RecordRouteActivity(Scheduler& scheduler,
                         const std::string& route,
                         Millis now) {
  if (scheduler.routes_active_at.size() >= kMaxEstimatedKinds)
    scheduler.routes_active_at.clear();
  scheduler.routes_active_at[route] = now;
}

bool ForgetUnverifiedTimes(Scheduler& scheduler,
                           const TransientJob& job,
                           Millis now,
                           Actions& actions) {
  Millis& active_at =
      scheduler.routes_active_at.try_emplace(job.route, now).first->second;
  if (now - active_at < kMaxTimeWithoutRun)
    return false;
  active_at = now;
  scheduler.run_times.by_kind.erase({CustomerId(job.service), job.route});
  scheduler.run_times.distributions.by_route.erase(job.route);
  for (auto& [id, scheduled] : scheduler.jobs) {
    if (scheduled.job.route == job.route)
      scheduled.run_times.clear();
  }
  for (auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.runs.empty())
      endpoint.slowness = std::min(
          endpoint.slowness, GetInitialSlowness(scheduler, endpoint.entry));
  }
  actions.push_back(
      LogEvent{"learned_times_forgotten", {{"route", job.route}}});
  return true;
}

void LearnFromStraggler(ManagedEndpoint& endpoint, double slowdown) {
  UpdateSlowness(endpoint, std::min(slowdown, kMaxSlowness),
                 kStragglerSmoothing);
  ++endpoint.observed_runs;
}

void LearnFromFailure(ManagedEndpoint& endpoint) {
  endpoint.failure_share += kFailureSmoothing * (1 - endpoint.failure_share);
}

void LearnFromSuccess(ManagedEndpoint& endpoint) {
  endpoint.failure_share *= 1 - kFailureSmoothing;
}

void UpdateSpeeds(Scheduler& scheduler, Millis now) {
  const bool is_first_update = scheduler.speeds_updated_at == Millis();
  const auto elapsed_ms =
      is_first_update
          ? 0.0
          : static_cast<double>((now - scheduler.speeds_updated_at).count);
  scheduler.speeds_updated_at = now;
  std::vector<double> sorted;
  TaskResources capacity;
  TaskResources used;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.status != EndpointStatus::kUsable)
      continue;
    sorted.push_back(endpoint.slowness);
    capacity = capacity + endpoint.entry.capacity;
    used = used + endpoint.used;
  }
  scheduler.load =
      capacity.cpu_millicores > 0
          ? std::clamp(static_cast<double>(used.cpu_millicores) /
                           static_cast<double>(capacity.cpu_millicores),
                       0.0, 1.0)
          : 0;
  if (sorted.empty())
    return;
  std::sort(sorted.begin(), sorted.end());
  constexpr size_t kFastEndpointDivisor = 8;
  scheduler.fast_slowness = sorted[sorted.size() / kFastEndpointDivisor];
  const double median = sorted[sorted.size() / 2];
  scheduler.median_slowness = median;
  for (auto& [id, endpoint] : scheduler.endpoints) {
    endpoint.failure_share *= std::exp2(-elapsed_ms / kRecoveryHalfLifeMs);
    const double max_usable_slowness = kMaxUsableSlownessFactor * median;
    if (endpoint.slowness <= max_usable_slowness)
      continue;
    endpoint.slowness = max_usable_slowness *
                        std::pow(endpoint.slowness / max_usable_slowness,
                                 std::exp2(-elapsed_ms / kRecoveryHalfLifeMs));
  }
}

}  // namespace dogwoodfall
