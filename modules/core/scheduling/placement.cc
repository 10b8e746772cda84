#include "core/scheduling/placement.h"

#include <algorithm>
#include <cmath>

namespace dogwoodfall {
namespace {

/** Weight of the room left over against the run time to expect: a task that
 * leaves a whole endpoint's room unused counts as this much slower. Best-fit
 * has to win between endpoints whose learned speeds differ by noise only.
 */
constexpr double kLeftoverWeight = 0.3;
/** Times an endpoint's failures lengthen the run time to expect: each failed
 * run is made again elsewhere.
 */
constexpr double kFailureWeight = 3;
/** An endpoint where the task failed counts as this much slower. */
constexpr double kFailedHereWeight = 10;
/** Factor of the run time away from the data. */
constexpr double kRemoteRackWeight = 0.5;

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
               Millis now) {
  const JobStep& spec = job.job.steps[step];
  return endpoint.standing == EndpointStanding::kUsable &&
         endpoint.group == job.group && endpoint.is_listed &&
         !endpoint.entry.draining && endpoint.avoid_until <= now &&
         endpoint.unanswered == 0 &&
         CanEverRun(endpoint.entry, job.job, spec) &&
         Fits(spec.room, endpoint.entry.capacity - endpoint.used) &&
         (spec.most_per_endpoint == 0 ||
          TasksThere(job, step, endpoint.entry.id) < spec.most_per_endpoint);
}

double CostOf(const ManagedEndpoint& endpoint,
              const JobStep& spec,
              const TaskProgress& task) {
  const TaskRoom left = endpoint.entry.capacity - endpoint.used - spec.room;
  const double leftover = static_cast<double>(left.cpu_millicores) /
                          static_cast<double>(std::max<int64_t>(
                              endpoint.entry.capacity.cpu_millicores, 1));
  double cost =
      endpoint.slowness * (1 + kFailureWeight * endpoint.failure_share) +
      kLeftoverWeight * leftover;
  if (task.failures > 0 && task.endpoint == endpoint.entry.id)
    cost += kFailedHereWeight;
  if (!spec.preferred_rack.value.empty() &&
      endpoint.entry.rack != spec.preferred_rack)
    cost += kRemoteRackWeight;
  return cost;
}

Millis TimeOn(const ManagedEndpoint& endpoint, Millis expected) {
  return Millis{
      std::llround(endpoint.slowness * static_cast<double>(expected.count))};
}

/** The time by which a task that starts now has to end to be of use: the
 * objective while it can be met on a fast endpoint, then the caller's limit.
 */
Millis WantedEnd(const ScheduledJob& job, Millis now) {
  return now <= job.latest_start ? std::min(job.objective_at, job.gives_up_at)
                                 : job.gives_up_at;
}

}  // namespace

bool CanEverRun(const EndpointEntry& endpoint,
                const TransientJob& job,
                const JobStep& step) {
  return endpoint.service == job.service &&
         Fits(step.room, endpoint.capacity) &&
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
  for (auto& [id, endpoint] : scheduler.endpoints) {
    if (!MayRunNow(endpoint, job, step, now) ||
        now + TimeOn(endpoint, expected) > end_by)
      continue;
    const double cost = CostOf(endpoint, job.job.steps[step], task);
    if (best == nullptr || cost < best_cost) {
      best = &endpoint;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace dogwoodfall
