#include "core/scheduling/run_review.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "core/scheduling/endpoint_orders.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

/** Times the usual run time from which on a run counts as lagging: jobs differ
 * from what is expected by a factor of 2 within two standard deviations.
 */
constexpr double kOverdueFactor = 2.5;
/** Least time before a run can count as overdue: two rounds of lists. */
constexpr Millis kOverdueSlack{60};
/** Time after which the share of its work tells how long a run will take. */
constexpr Millis kJudgedAfter{150};
/** A run is moved when more than this times its usual run time is left. */
constexpr double kWorthMoving = 1.5;

/** Share of its work from which on a run tells how long it takes. */
constexpr int kTellingPercent = 15;
/** Share of the projected time that a run takes at the least: the share of the
 * work that is done is told in whole percent and some ms late.
 */
constexpr double kSureFactor = 0.92;

/** What is known of a run that may be overdue, in ms. */
struct RunPace {
  double ran = 0;
  /** In all, from the share of its work that is done. */
  double projected = 0;
  /** On this endpoint at its usual speed. */
  double usual = 0;
};

bool IsOverdue(const RunPace& pace) {
  // Before this time a share of the work in whole percent says little.
  const double judged_after =
      std::min(pace.usual, static_cast<double>(kJudgedAfter.count)) +
      static_cast<double>(kOverdueSlack.count);
  // A run that is nearly done would lose more by starting again.
  return pace.ran >= judged_after &&
         pace.projected >= kOverdueFactor * pace.usual &&
         pace.projected - pace.ran >= kWorthMoving * pace.usual;
}

/** The pace of a run; its job's other tasks are asked only when it seems
 * overdue without them.
 */
RunPace PaceOf(const Scheduler& scheduler,
               const ManagedEndpoint& endpoint,
               const RunKey& key,
               const Run& run,
               Millis now) {
  RunPace pace;
  pace.ran = static_cast<double>((now - run.ordered_at).count);
  pace.projected = ProjectedTime(run, now);
  pace.usual = endpoint.slowness * static_cast<double>(run.expected.count);
  const auto job = scheduler.jobs.find(key.first.job);
  if (!IsOverdue(pace) || job == scheduler.jobs.end())
    return pace;
  const Millis task_time =
      TaskTimeOf(scheduler, job->second, key.first.step, &key);
  pace.usual = endpoint.slowness * static_cast<double>(task_time.count);
  return pace;
}

LogEvent OverdueEvent(const ManagedEndpoint& endpoint,
                      const RunKey& key,
                      const RunPace& pace) {
  return {"run_overdue",
          {{"job", key.first.job.value},
           {"task", FormatTaskPosition(key.first)},
           {"attempt", std::to_string(key.second)},
           {"endpoint", endpoint.entry.id.value},
           {"ran_ms", std::to_string(std::llround(pace.ran))},
           {"projected_ms", std::to_string(std::llround(pace.projected))},
           {"usual_ms", std::to_string(std::llround(pace.usual))}}};
}

/** True when the job of a run can't be done any more before its caller stops
 * waiting, neither here nor on a fast endpoint.
 */
bool IsHopeless(const Scheduler& scheduler,
                const RunKey& key,
                const Run& run,
                Millis now) {
  const auto job = scheduler.jobs.find(key.first.job);
  if (job == scheduler.jobs.end() || run.percent < kTellingPercent)
    return false;
  const Millis limit = job->second.caller_deadline;
  const Millis ends{run.ordered_at.count +
                    std::llround(kSureFactor * ProjectedTime(run, now))};
  if (ends <= limit)
    return false;
  const auto task_time = static_cast<double>(
      TaskTimeOf(scheduler, job->second, key.first.step, nullptr).count);
  return now + Millis{std::llround(kSureFactor * scheduler.fast_slowness *
                                   task_time)} >
         limit;
}

}  // namespace

void EndHopelessJobs(Scheduler& scheduler, Millis now, Actions& actions) {
  std::vector<SubmissionId> hopeless;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    for (const auto& [key, run] : endpoint.runs) {
      if (run.state == RunState::kRunning &&
          IsHopeless(scheduler, key, run, now))
        hopeless.push_back(key.first.job);
    }
  }
  for (const SubmissionId& id : hopeless)
    EndJob(scheduler, id, {JobResult::kAbandoned, {}, "can_not_be_in_time"},
           now, actions);
}

void StopOverdueRuns(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     Millis now,
                     Actions& actions) {
  std::vector<std::pair<RunKey, RunPace>> overdue;
  for (const auto& [key, run] : endpoint.runs) {
    if (run.state != RunState::kRunning)
      continue;
    const RunPace pace = PaceOf(scheduler, endpoint, key, run, now);
    if (IsOverdue(pace))
      overdue.emplace_back(key, pace);
  }
  for (const auto& [key, pace] : overdue) {
    ++scheduler.counters.overdue_runs;
    actions.push_back(OverdueEvent(endpoint, key, pace));
    LearnFromLaggard(endpoint, pace.projected / pace.usual);
    OrderStop(scheduler, endpoint, key, now, actions);
  }
}

}  // namespace dogwoodfall
