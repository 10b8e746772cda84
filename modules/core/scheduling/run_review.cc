#include "core/scheduling/run_review.h"

#include <algorithm>
#include <cmath>

#include "core/scheduling/endpoint_flow.h"

namespace dogwoodfall {
namespace {

/** Weight of one run in what is learned of an endpoint. */
constexpr double kGain = 0.1;
/** Weight of one run in the share of failures; a failing endpoint has to show
 * after two or three runs.
 */
constexpr double kFailureGain = 0.3;
/** Times the expected run time after which a run that lags behind is stopped;
 * jobs of a route differ by a factor of 2 within two standard deviations.
 */
constexpr double kOverdueFactor = 3;
/** Least time beyond the expected one before a run counts as overdue. */
constexpr Millis kOverdueSlack{100};
/** Bounds of a learned slowness. */
constexpr double kLeastSlowness = 0.2;
constexpr double kMostSlowness = 20;

/** Run time to expect in all, from the share of the work that is done. */
double ProjectedTime(const Run& run, Millis now) {
  const auto ran = static_cast<double>((now - run.ordered_at).count);
  constexpr double kWhole = 100;
  return run.percent <= 0 ? ran * kWhole : ran * kWhole / run.percent;
}

}  // namespace

void LearnFromRun(Scheduler& scheduler,
                  ManagedEndpoint& endpoint,
                  const JobTask& task,
                  const Run& run,
                  Millis now) {
  endpoint.failure_share *= 1 - kFailureGain;
  const auto job = scheduler.jobs.find(task.job);
  if (job == scheduler.jobs.end() || run.expected.count <= 0)
    return;
  const Millis ran = now - run.ordered_at;
  LearnRun(scheduler.run_times, CustomerId(job->second.job.service),
           job->second.job.route, ran, endpoint.slowness);
  const double sample =
      static_cast<double>(ran.count) / static_cast<double>(run.expected.count);
  endpoint.slowness += kGain * (sample - endpoint.slowness);
  endpoint.slowness =
      std::clamp(endpoint.slowness, kLeastSlowness, kMostSlowness);
}

void LearnFromFailure(ManagedEndpoint& endpoint) {
  endpoint.failure_share += kFailureGain * (1 - endpoint.failure_share);
}

void StopOverdueRuns(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     Millis now,
                     Actions& actions) {
  std::vector<RunKey> overdue;
  for (const auto& [key, run] : endpoint.runs) {
    if (run.state != RunState::kRunning)
      continue;
    const Millis limit{std::llround(kOverdueFactor * endpoint.slowness *
                                    static_cast<double>(run.expected.count)) +
                       kOverdueSlack.count};
    const Millis ran = now - run.ordered_at;
    if (ran < limit)
      continue;
    // A run that is nearly done would lose more by starting again.
    if (ProjectedTime(run, now) - static_cast<double>(ran.count) <
        static_cast<double>(run.expected.count))
      continue;
    overdue.push_back(key);
  }
  for (const RunKey& key : overdue) {
    ++scheduler.counters.overdue_runs;
    const Run& run = endpoint.runs.at(key);
    actions.push_back(
        LogEvent{"run_overdue",
                 {{"job", key.first.job.value},
                  {"task", std::to_string(key.first.step) + "." +
                               std::to_string(key.first.index)},
                  {"attempt", std::to_string(key.second)},
                  {"endpoint", endpoint.entry.id.value},
                  {"ran_ms", std::to_string((now - run.ordered_at).count)},
                  {"expected_ms", std::to_string(run.expected.count)},
                  {"percent", std::to_string(run.percent)}}});
    endpoint.slowness = std::min(endpoint.slowness * 2, kMostSlowness);
    OrderStop(scheduler, endpoint, key, now, actions);
  }
}

}  // namespace dogwoodfall
