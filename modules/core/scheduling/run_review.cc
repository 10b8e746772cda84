#include "core/scheduling/run_review.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "core/scheduling/endpoint_commands.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

/** A run can only be overdue if its projected run time exceeds the expected one
 * by this factor. Run times of jobs differ from the expected ones by a factor
 * of 2 within two standard deviations.
 */
constexpr double kOverdueFactor = 2.5;
/** Added to the minimum time before a run can count as overdue, so that two
 * more lists of the endpoint have arrived.
 */
constexpr Millis kOverdueMargin{60};
/** Time after which the progress of a run is a usable basis for projecting its
 * run time. Shorter for runs with a shorter expected run time.
 */
constexpr Millis kMaxProjectionDelay{150};
/** A run is stopped only if its remaining time exceeds its expected run time by
 * this factor.
 */
constexpr double kMinRemainingFactor = 1.5;

/** Lower bound of the run time relative to the projected one. Endpoints report
 * progress in whole percent and with some ms of delay.
 */
constexpr double kProjectionLowerBound = 0.92;

/** Run times by which a run is judged overdue, in ms. */
struct RunTiming {
  double elapsed_ms = 0;
  /** Projected total, from the share of the work that is done. */
  double projected_ms = 0;
  /** Expected total on this endpoint. */
  double expected_ms = 0;
};

bool IsOverdue(const RunTiming& timing) {
  // Before this time, progress in whole percent is too coarse.
  const double min_elapsed_ms =
      std::min(timing.expected_ms,
               static_cast<double>(kMaxProjectionDelay.count)) +
      static_cast<double>(kOverdueMargin.count);
  // A run that is nearly done would take longer if it were started again.
  return timing.elapsed_ms >= min_elapsed_ms &&
         timing.projected_ms >= kOverdueFactor * timing.expected_ms &&
         timing.projected_ms - timing.elapsed_ms >=
             kMinRemainingFactor * timing.expected_ms;
}

/** Computes the run times of a run. The other tasks of its job are taken into
 * account only if the run is overdue by the initial estimate.
 */
RunTiming ComputeTiming(const Scheduler& scheduler,
                        const ManagedEndpoint& endpoint,
                        const RunKey& key,
                        const Run& run,
                        Millis now) {
  RunTiming timing;
  timing.elapsed_ms = static_cast<double>((now - run.start_sent_at).count);
  timing.projected_ms = ProjectRunTime(run);
  timing.expected_ms =
      endpoint.slowness * static_cast<double>(run.expected_run_time.count);
  const auto job = scheduler.jobs.find(key.first.job);
  if (!IsOverdue(timing) || job == scheduler.jobs.end())
    return timing;
  const Millis expected_run_time =
      EstimateStepRunTime(scheduler, job->second, key.first.step, &key);
  timing.expected_ms =
      endpoint.slowness * static_cast<double>(expected_run_time.count);
  return timing;
}

LogEvent MakeOverdueEvent(const ManagedEndpoint& endpoint,
                          const RunKey& key,
                          const RunTiming& timing) {
  return {"run_overdue",
          {{"job", key.first.job.value},
           {"task", FormatTaskPosition(key.first)},
           {"attempt", std::to_string(key.second)},
           {"endpoint", endpoint.entry.id.value},
           {"ran_ms", std::to_string(std::llround(timing.elapsed_ms))},
           {"projected_ms", std::to_string(std::llround(timing.projected_ms))},
           {"usual_ms", std::to_string(std::llround(timing.expected_ms))}}};
}

/** Returns true when a run can no longer end before its caller stops waiting,
 * neither on its endpoint nor by a new start on a fast endpoint.
 */
bool IsInfeasible(const Scheduler& scheduler,
                  const RunKey& key,
                  const Run& run,
                  Millis now) {
  const auto job = scheduler.jobs.find(key.first.job);
  if (job == scheduler.jobs.end() || run.percent < kMinProjectionPercent)
    return false;
  const Millis deadline = job->second.caller_deadline;
  const Millis projected_end{
      run.start_sent_at.count +
      std::llround(kProjectionLowerBound * ProjectRunTime(run))};
  if (projected_end <= deadline)
    return false;
  const auto expected_run_time_ms = static_cast<double>(
      EstimateStepRunTime(scheduler, job->second, key.first.step, nullptr)
          .count);
  return now + Millis{std::llround(kProjectionLowerBound *
                                   scheduler.fast_slowness *
                                   expected_run_time_ms)} >
         deadline;
}

}  // namespace

void EndInfeasibleJobs(Scheduler& scheduler, Millis now, Actions& actions) {
  std::vector<SubmissionId> infeasible;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    for (const auto& [key, run] : endpoint.runs) {
      if (run.state == RunState::kRunning &&
          IsInfeasible(scheduler, key, run, now))
        infeasible.push_back(key.first.job);
    }
  }
  for (const SubmissionId& id : infeasible)
    EndJob(scheduler, id, {JobResult::kAbandoned, {}, "can_not_be_in_time"},
           now, actions);
}

void StopOverdueRuns(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     Millis now,
                     Actions& actions) {
  // A stopped task could not be started again.
  if (IsClosedByEvacuation(scheduler, endpoint))
    return;
  std::vector<std::pair<RunKey, RunTiming>> overdue;
  for (const auto& [key, run] : endpoint.runs) {
    // Until its progress is reported, nothing shows that a run is slow. Its
    // endpoint may only be silent.
    const bool is_reported = run.percent_updated_at > run.start_sent_at;
    if (run.state != RunState::kRunning || !is_reported)
      continue;
    const RunTiming timing = ComputeTiming(scheduler, endpoint, key, run, now);
    if (IsOverdue(timing))
      overdue.emplace_back(key, timing);
  }
  for (const auto& [key, timing] : overdue) {
    ++scheduler.counters.overdue_runs;
    actions.push_back(MakeOverdueEvent(endpoint, key, timing));
    LearnFromStraggler(endpoint, timing.projected_ms / timing.expected_ms);
    SendStop(scheduler, endpoint, key, now, actions);
  }
}

}  // namespace dogwoodfall
