#include "core/scheduling/placement.h"

#include <algorithm>
#include <cmath>

#include "core/scheduling/admission.h"
#include "core/scheduling/crash_tracking.h"
#include "core/scheduling/endpoint_ejection.h"
#include "core/scheduling/endpoint_runs.h"
#include "core/scheduling/interference.h"
#include "core/scheduling/job_lease.h"
#include "core/scheduling/job_order.h"
#include "core/scheduling/queue_packing.h"
#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

// Weights of the costs of an endpoint, relative to a missed caller deadline.
// The risk, which is the probability of missing that deadline, is added without
// a weight.

/** Free capacity that is left over. Small, so that packing only decides between
 * similar endpoints.
 */
constexpr double kLeftoverWeight = 0.1;
/** Longer run time; counts most at low load. */
constexpr double kRunTimeWeight = 0.15;
/** Use of a fast endpoint by a task that a slow one could run as well; counts
 * most at high load.
 */
constexpr double kReserveWeight = 0.5;
/** Expected failures. Less than 1, because a failed run is repeated elsewhere
 * and mostly still ends in time.
 */
constexpr double kFailureWeight = 0.5;
/** Last failure of the task on the same endpoint: makes it the last choice. */
constexpr double kPreviousFailureWeight = 10;
/** Another task on the endpoint that may crash it as well: makes it the last
 * choice, because a crash would not show which of them has caused it.
 */
constexpr double kSharedSuspicionWeight = 10;
/** Tasks that would be lost with the endpoint if the suspected one crashes it.
 */
constexpr double kSuspectNeighbourWeight = 0.5;
/** A rack other than the preferred one, where the data is. */
constexpr double kRemoteRackWeight = 0.5;
/** A run of a kind on the endpoint that is held apart from the task's. As much
 * as the reserve of fast endpoints, so that it decides between endpoints that
 * are in time, but no task waits for another one.
 */
constexpr double kInterferenceWeight = 0.5;
/** Standard deviation of the logarithm of run times around the expected run
 * time: 0.28 between jobs combined with 0.15 between the tasks of a job.
 */
constexpr double kRunTimeLogDeviation = 0.32;
/** Maximum risk in excess of the risk on a fast endpoint, while there is time
 * to wait for a fast endpoint.
 */
constexpr double kMaxExtraRisk = 0.1;
/** Share of a job's slack during which it waits for a fast endpoint. */
constexpr double kFastEndpointWaitShare = 0.3;
/** Maximum risk in the rest of the slack: a late result is better than none. */
constexpr double kMaxRiskAfterWait = 0.5;

bool HasLabel(const EndpointEntry& endpoint, const std::string& label) {
  return std::find(endpoint.labels.begin(), endpoint.labels.end(), label) !=
         endpoint.labels.end();
}

/** Counts the runs of a step on an endpoint, including those that are being
 * stopped, whatever the phase of their tasks.
 */
uint32_t CountRunsOfStep(const ManagedEndpoint& endpoint,
                         const SubmissionId& job,
                         uint32_t step_index) {
  uint32_t count = 0;
  auto run = endpoint.runs.lower_bound({{job, step_index, 0}, 0});
  for (; run != endpoint.runs.end(); ++run, ++count) {
    const JobTask& task = run->first.first;
    if (task.job != job || task.step != step_index)
      break;
  }
  return count;
}

/** Returns false while the entry is from before a restart. The endpoint may
 * have come back with another capacity.
 */
bool HasCurrentEntry(const ManagedEndpoint& endpoint) {
  return endpoint.entry.started_at_ms == 0 ||
         endpoint.entry.started_at_ms >= endpoint.started_at_ms;
}

Millis ScaleRunTime(double slowness, Millis expected_run_time) {
  return Millis{
      std::llround(slowness * static_cast<double>(expected_run_time.count))};
}

/** Returns the probability that a log-normally distributed run time exceeds a
 * limit.
 */
double ProbabilityOfMore(double run_time_ms,
                         double limit_ms,
                         double log_deviation) {
  if (limit_ms <= 0)
    return 1;
  const double deviations =
      std::log(limit_ms / std::max(run_time_ms, 1.0)) / log_deviation;
  return std::erfc(deviations / std::sqrt(2.0)) / 2;
}

/** Estimates the probability that a run started now ends after the caller's
 * deadline. Run times are assumed to be log-normally distributed.
 */
double EstimateMissRisk(double slowness,
                        const ScheduledJob& job,
                        Millis expected_run_time,
                        Millis now) {
  const auto remaining_ms =
      static_cast<double>((job.caller_deadline - now).count);
  const auto run_time_ms =
      static_cast<double>(ScaleRunTime(slowness, expected_run_time).count);
  return ProbabilityOfMore(run_time_ms, remaining_ms, kRunTimeLogDeviation);
}

/** Predicts whether the tasks of a step that start now end in time. */
struct StepPrediction {
  const ScheduledJob& job;
  Millis now;
  /** Expected run time on an endpoint of slowness 1. */
  Millis expected_run_time;
  /** The same for the slowest of all tasks of the step. */
  Millis slowest_run_time;
  /** Run times of the job by their distribution on the route; null when it is
   * not known, or when runs of the job show more.
   */
  const RunTimeProbabilities* probabilities = nullptr;
};

StepPrediction PredictStep(const ScheduledJob& job,
                           uint32_t step_index,
                           Millis expected_run_time,
                           Millis now) {
  const JobStep& step = job.job.steps[step_index];
  StepPrediction prediction{
      job, now, expected_run_time,
      ScaleRunTime(SlowestTaskFactor(step.task_count), expected_run_time),
      nullptr};
  if (!job.run_times.empty() && !job.has_started)
    prediction.probabilities = &job.run_times[step_index];
  return prediction;
}

/** Estimates the probability that a job ends after its caller's deadline. */
double EstimateMissRisk(const StepPrediction& prediction, double slowness) {
  if (prediction.probabilities == nullptr)
    return EstimateMissRisk(slowness, prediction.job,
                            prediction.slowest_run_time, prediction.now);
  const auto remaining_ms = static_cast<double>(
      (prediction.job.caller_deadline - prediction.now).count);
  const double slowest_factor =
      static_cast<double>(prediction.slowest_run_time.count) /
      static_cast<double>(
          std::max<int64_t>(prediction.expected_run_time.count, 1));
  return 1 -
         ProbabilityOfAtMost(
             *prediction.probabilities,
             Millis{std::llround(remaining_ms / (slowness * slowest_factor))});
}

/** Returns the cost of running a task beside those on an endpoint when some of
 * them may crash it.
 */
double ComputeSuspicionCost(const Scheduler& scheduler,
                            const ManagedEndpoint& endpoint,
                            const JobTask& task) {
  if (scheduler.crash_records.empty())
    return 0;
  const bool has_suspect = HasSuspectRun(scheduler, endpoint);
  if (!IsSuspect(scheduler, task))
    return has_suspect ? kSuspectNeighbourWeight : 0;
  if (has_suspect)
    return kSharedSuspicionWeight;
  return endpoint.runs.empty() ? 0 : kSuspectNeighbourWeight;
}

double ComputeCost(const Scheduler& scheduler,
                   const ManagedEndpoint& endpoint,
                   const JobStep& step,
                   const TaskProgress& task) {
  const TaskResources remaining =
      endpoint.entry.capacity - endpoint.used - step.resources;
  const double leftover = static_cast<double>(remaining.cpu_millicores) /
                          static_cast<double>(std::max<int64_t>(
                              endpoint.entry.capacity.cpu_millicores, 1));
  const double relative_slowness =
      endpoint.slowness / scheduler.median_slowness;
  double cost =
      kLeftoverWeight * leftover + kFailureWeight * endpoint.failure_share +
      kRunTimeWeight * (1 - scheduler.load) * relative_slowness +
      kReserveWeight * scheduler.load * std::max(1 - relative_slowness, 0.0);
  if (task.failures > 0 && task.endpoint == endpoint.entry.id)
    cost += kPreviousFailureWeight;
  if (!step.preferred_rack.value.empty() &&
      endpoint.entry.rack != step.preferred_rack)
    cost += kRemoteRackWeight;
  return cost;
}

/** Returns the maximum risk at which a task is started now instead of waiting
 * for another endpoint.
 */
double ComputeMaxRisk(const Scheduler& scheduler,
                      const StepPrediction& prediction) {
  const ScheduledJob& job = prediction.job;
  const Millis now = prediction.now;
  const auto slack =
      static_cast<double>((job.latest_start - ReceivedBy(job)).count);
  const auto waited = static_cast<double>((now - ReceivedBy(job)).count);
  if (waited > slack)
    return 1;
  const double risk_limit =
      EstimateMissRisk(prediction, scheduler.fast_slowness) + kMaxExtraRisk;
  return waited > kFastEndpointWaitShare * slack
             ? std::max(risk_limit, kMaxRiskAfterWait)
             : risk_limit;
}

/** Returns the time by which a task that starts now has to end: the objective
 * deadline while it can be met on a fast endpoint, then the caller's deadline.
 */
Millis ComputeTargetEnd(const ScheduledJob& job, Millis now) {
  return now <= job.latest_start
             ? std::min(job.objective_deadline, job.caller_deadline)
             : job.caller_deadline;
}

/** Returns true when a task that starts on an endpoint may end in time: by its
 * expected run time, or for a job that can only be in time if it is shorter
 * than expected, by the probability of that.
 */
bool MayEndInTime(const StepPrediction& prediction,
                  const ManagedEndpoint& endpoint,
                  double risk) {
  const bool is_late = prediction.now > prediction.job.latest_start;
  if (prediction.probabilities != nullptr && is_late)
    return 1 - risk >= kMinChance;
  return prediction.now +
             ScaleRunTime(endpoint.slowness, prediction.expected_run_time) <=
         ComputeTargetEnd(prediction.job, prediction.now);
}

}  // namespace

bool NeedsFastEndpoints(const Scheduler& scheduler,
                        const ScheduledJob& job,
                        Millis now) {
  for (uint32_t step = 0; step < job.tasks.size(); ++step) {
    const bool is_queued =
        std::any_of(job.tasks[step].begin(), job.tasks[step].end(),
                    [](const TaskProgress& task) {
                      return task.phase == TaskPhase::kQueued;
                    });
    if (!is_queued)
      continue;
    const Millis slowest_run_time =
        ScaleRunTime(SlowestTaskFactor(job.job.steps[step].task_count),
                     EstimateStepRunTime(scheduler, job, step, nullptr));
    if (EstimateMissRisk(scheduler.median_slowness, job, slowest_run_time,
                         now) > kMaxRiskAfterWait &&
        EstimateMissRisk(scheduler.fast_slowness, job, slowest_run_time, now) <=
            kMaxRiskAfterWait)
      return true;
  }
  return false;
}

bool IsClosedByEvacuation(const Scheduler& scheduler,
                          const ManagedEndpoint& endpoint) {
  return !scheduler.are_evacuations_known ||
         scheduler.evacuated_zones.count(endpoint.entry.zone) > 0;
}

bool AcceptsWork(const Scheduler& scheduler,
                 const ManagedEndpoint& endpoint,
                 Millis now) {
  // It is not known how much of the capacity an unclaimed run occupies.
  return endpoint.status == EndpointStatus::kUsable && endpoint.is_registered &&
         endpoint.clock_offset.has_value() &&
         !endpoint.is_held_for_reported_runs && !endpoint.entry.draining &&
         endpoint.backoff_until <= now && endpoint.unanswered == 0 &&
         HasCurrentEntry(endpoint) && !HasUnclaimedRun(endpoint) &&
         !IsClosedByEvacuation(scheduler, endpoint);
}

bool HasRejected(const EndpointId& endpoint, const TaskProgress& task) {
  return std::find(task.rejected_by.begin(), task.rejected_by.end(),
                   endpoint) != task.rejected_by.end();
}

bool CanEverRun(const EndpointEntry& endpoint,
                const TransientJob& job,
                const JobStep& step) {
  return endpoint.service == job.service &&
         Fits(step.resources, endpoint.capacity) &&
         (step.required_label.empty() ||
          HasLabel(endpoint, step.required_label));
}

bool MayRunNow(const Scheduler& scheduler,
               const ManagedEndpoint& endpoint,
               const ScheduledJob& job,
               uint32_t step_index,
               const TaskProgress& task,
               const TaskResources& planned_use,
               Millis now) {
  const JobStep& step = job.job.steps[step_index];
  return AcceptsWork(scheduler, endpoint, now) && endpoint.group == job.group &&
         IsEligibleFor(endpoint, task) &&
         !HasRejected(endpoint.entry.id, task) &&
         CanEverRun(endpoint.entry, job.job, step) &&
         Fits(step.resources,
              endpoint.entry.capacity - endpoint.used - planned_use) &&
         (step.max_per_endpoint == 0 ||
          CountRunsOfStep(endpoint, job.job.id, step_index) <
              step.max_per_endpoint);
}

ManagedEndpoint* ChooseEndpoint(Scheduler& scheduler,
                                const ScheduledJob& job,
                                uint32_t step_index,
                                uint32_t task_index,
                                Millis expected_run_time,
                                Millis now) {
  const TaskProgress& task = job.tasks[step_index][task_index];
  ManagedEndpoint* best = nullptr;
  double best_cost = 0;
  // All tasks of the step have to end in time, so the slowest one counts.
  const StepPrediction prediction =
      PredictStep(job, step_index, expected_run_time, now);
  const double max_risk = ComputeMaxRisk(scheduler, prediction);
  const uint64_t held_apart = GetHeldApartKinds(scheduler, job);
  for (auto& [id, endpoint] : scheduler.endpoints) {
    if (!MayRunNow(scheduler, endpoint, job, step_index, task, TaskResources(),
                   now) ||
        IsReservedForOther(scheduler, endpoint, job.job.id,
                           job.job.steps[step_index].resources) ||
        !HasLeaseForStart(scheduler, endpoint, job.job.id, now))
      continue;
    const double risk = EstimateMissRisk(prediction, endpoint.slowness);
    if (risk > max_risk || !MayEndInTime(prediction, endpoint, risk))
      continue;
    const double cost =
        risk +
        ComputeCost(scheduler, endpoint, job.job.steps[step_index], task) +
        ComputeSuspicionCost(scheduler, endpoint,
                             {job.job.id, step_index, task_index}) +
        ((endpoint.neighbour_times.kinds_present & held_apart) != 0
             ? kInterferenceWeight
             : 0);
    if (best == nullptr || cost < best_cost) {
      best = &endpoint;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace dogwoodfall
