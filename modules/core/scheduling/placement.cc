#include "core/scheduling/placement.h"

#include <algorithm>
#include <cmath>

#include "core/scheduling/endpoint_ejection.h"
#include "core/scheduling/job_order.h"

namespace dogwoodfall {
namespace {

/** Weights of what speaks against an endpoint, as shares of a job's worth. The
 * risk of missing the caller's limit is such a share by itself.
 *
 * Room left over: packing decides only between endpoints that are alike.
 */
constexpr double kLeftoverWeight = 0.1;
/** A longer wait for the caller, while there is room for everyone. */
constexpr double kTimeWeight = 0.15;
/** Use of a fast endpoint by a task that a slow one serves as well, while room
 * is short.
 */
constexpr double kReserveWeight = 0.15;
/** A run that fails is made again elsewhere, mostly still in time. */
constexpr double kFailureWeight = 0.5;
/** An endpoint where the task failed before is the last choice. */
constexpr double kFailedHereWeight = 10;
/** Run away from the data. */
constexpr double kRemoteRackWeight = 0.5;
/** Spread of run times around what is expected, as a standard deviation of
 * their logarithm: jobs differ by 0.28, tasks of a job by 0.15.
 */
constexpr double kRunTimeSpread = 0.32;
/** A task is not put where its risk is higher by this than on a fast endpoint,
 * as long as there is time to wait for one.
 */
constexpr double kRiskWorthWaiting = 0.1;
/** Share of a job's slack in which it waits for a fast endpoint. */
constexpr double kWaitShare = 0.3;
/** Risk that is taken in the rest of the slack: rather late than not at all. */
constexpr double kEvenRisk = 0.5;

bool HasLabel(const EndpointEntry& endpoint, const std::string& label) {
  return std::find(endpoint.labels.begin(), endpoint.labels.end(), label) !=
         endpoint.labels.end();
}

uint32_t TasksThere(const ScheduledJob& job,
                    uint32_t step,
                    const EndpointId& endpoint) {
  uint32_t count = 0;
  for (const TaskProgress& task : job.tasks[step]) {
    if (task.phase == TaskPhase::kPlaced && task.endpoint == endpoint)
      ++count;
  }
  return count;
}

bool MayRunNow(const ManagedEndpoint& endpoint,
               const ScheduledJob& job,
               uint32_t step,
               const TaskProgress& task,
               Millis now) {
  const JobStep& spec = job.job.steps[step];
  return TakesWork(endpoint, now) && endpoint.group == job.group &&
         IsTrustedWith(endpoint, task) &&
         CanEverRun(endpoint.entry, job.job, spec) &&
         Fits(spec.resources, endpoint.entry.capacity - endpoint.used) &&
         (spec.max_per_endpoint == 0 ||
          TasksThere(job, step, endpoint.entry.id) < spec.max_per_endpoint);
}

Millis TimeAt(double slowness, Millis expected) {
  return Millis{std::llround(slowness * static_cast<double>(expected.count))};
}

/** The chance that a run that starts now ends after the caller's limit. */
double RiskAt(double slowness,
              const ScheduledJob& job,
              Millis expected,
              Millis now) {
  const auto left = static_cast<double>((job.caller_deadline - now).count);
  const auto time = static_cast<double>(TimeAt(slowness, expected).count);
  if (left <= 0)
    return 1;
  const double deviations =
      std::log(left / std::max(time, 1.0)) / kRunTimeSpread;
  return std::erfc(deviations / std::sqrt(2.0)) / 2;
}

double CostOf(const Scheduler& scheduler,
              const ManagedEndpoint& endpoint,
              const JobStep& spec,
              const TaskProgress& task) {
  const TaskResources left =
      endpoint.entry.capacity - endpoint.used - spec.resources;
  const double leftover = static_cast<double>(left.cpu_millicores) /
                          static_cast<double>(std::max<int64_t>(
                              endpoint.entry.capacity.cpu_millicores, 1));
  const double relative = endpoint.slowness / scheduler.usual_slowness;
  double cost = kLeftoverWeight * leftover +
                kFailureWeight * endpoint.failure_share +
                kTimeWeight * (1 - scheduler.load) * relative +
                kReserveWeight * scheduler.load * std::max(1 - relative, 0.0);
  if (task.failures > 0 && task.endpoint == endpoint.entry.id)
    cost += kFailedHereWeight;
  if (!spec.preferred_rack.value.empty() &&
      endpoint.entry.rack != spec.preferred_rack)
    cost += kRemoteRackWeight;
  return cost;
}

/** The most risk that a task takes now instead of waiting. */
double MostRisk(const Scheduler& scheduler,
                const ScheduledJob& job,
                Millis expected,
                Millis now) {
  const auto slack =
      static_cast<double>((job.latest_start - job.received).count);
  const auto waited = static_cast<double>((now - job.received).count);
  if (waited > slack)
    return 1;
  const double least =
      RiskAt(scheduler.fast_slowness, job, expected, now) + kRiskWorthWaiting;
  return waited > kWaitShare * slack ? std::max(least, kEvenRisk) : least;
}

/** The time by which a task that starts now has to end to be of use: the
 * objective while it can be met on a fast endpoint, then the caller's limit.
 */
Millis WantedEnd(const ScheduledJob& job, Millis now) {
  return now <= job.latest_start
             ? std::min(job.objective_at, job.caller_deadline)
             : job.caller_deadline;
}

}  // namespace

bool TakesWork(const ManagedEndpoint& endpoint, Millis now) {
  return endpoint.status == EndpointStatus::kUsable && endpoint.is_listed &&
         !endpoint.entry.draining && endpoint.avoid_until <= now &&
         endpoint.unanswered == 0;
}

bool CanEverRun(const EndpointEntry& endpoint,
                const TransientJob& job,
                const JobStep& step) {
  return endpoint.service == job.service &&
         Fits(step.resources, endpoint.capacity) &&
         (step.required_label.empty() ||
          HasLabel(endpoint, step.required_label));
}

ManagedEndpoint* ChooseEndpoint(Scheduler& scheduler,
                                const ScheduledJob& job,
                                uint32_t step,
                                const TaskProgress& task,
                                Millis expected,
                                Millis now) {
  ManagedEndpoint* best = nullptr;
  double best_cost = 0;
  const Millis end_by = WantedEnd(job, now);
  // All of the job's tasks have to be in time, so the slowest one counts.
  const Millis last_ends =
      TimeAt(WidthFactor(job.job.steps[step].task_count), expected);
  const double most_risk = MostRisk(scheduler, job, last_ends, now);
  for (auto& [id, endpoint] : scheduler.endpoints) {
    if (!MayRunNow(endpoint, job, step, task, now) ||
        now + TimeAt(endpoint.slowness, expected) > end_by)
      continue;
    const double risk = RiskAt(endpoint.slowness, job, last_ends, now);
    if (risk > most_risk)
      continue;
    const double cost =
        risk + CostOf(scheduler, endpoint, job.job.steps[step], task);
    if (best == nullptr || cost < best_cost) {
      best = &endpoint;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace dogwoodfall
