#include "core/scheduling/run_review.h"

#include <algorithm>
#include <cmath>

#include "core/scheduling/endpoint_flow.h"

namespace dogwoodfall {
namespace {

/** Weight of one run in what is learned of an endpoint and of its kind.
 * Declared times are off by a factor of 1.5, which has to average out.
 */
constexpr double kOwnGain = 0.05;
constexpr double kKindGain = 0.02;
/** Weight of one run in the share of failures; a failing endpoint has to show
 * after two or three runs.
 */
constexpr double kFailureGain = 0.3;
/** Times the expected run time after which a run that lags behind is stopped;
 * jobs of a route differ by a factor of 2 within two standard deviations.
 */
constexpr double kOverdueFactor = 2.5;
/** Least time before a run can count as overdue: two rounds of lists. */
constexpr Millis kOverdueSlack{60};
/** Time after which the share of its work tells how long a run will take. */
constexpr Millis kJudgedAfter{150};
/** A run is moved when more than this times its usual run time is left. */
constexpr double kWorthMoving = 1.5;
/** Bounds of a learned slowness. */
constexpr double kLeastSlowness = 0.2;
constexpr double kMostSlowness = 20;

double Bounded(double slowness) {
  return std::clamp(slowness, kLeastSlowness, kMostSlowness);
}

/** Run time to expect in all, from the share of the work that is done. */
double ProjectedTime(const Run& run, Millis now) {
  constexpr double kWhole = 100;
  if (run.percent <= 0)
    return kWhole * static_cast<double>((now - run.ordered_at).count);
  return kWhole * static_cast<double>((run.percent_at - run.ordered_at).count) /
         run.percent;
}

}  // namespace

double KindSlowness(const Scheduler& scheduler, const std::string& kind) {
  const auto found = scheduler.kind_slowness.find(kind);
  return found == scheduler.kind_slowness.end() ? 1 : found->second;
}

double FastestSlowness(const Scheduler& scheduler) {
  double fastest = 1;
  for (const auto& [kind, slowness] : scheduler.kind_slowness)
    fastest = std::min(fastest, slowness);
  return fastest;
}

void LearnFromRun(Scheduler& scheduler,
                  ManagedEndpoint& endpoint,
                  const JobTask& task,
                  const Run& run,
                  Millis now) {
  endpoint.failure_share *= 1 - kFailureGain;
  const auto job = scheduler.jobs.find(task.job);
  if (job == scheduler.jobs.end())
    return;
  const Millis ran = now - run.ordered_at;
  LearnRun(scheduler.run_times, CustomerId(job->second.job.service),
           job->second.job.route, ran, endpoint.slowness);
  const int64_t declared =
      job->second.job.steps[task.step].declared_run_time.count;
  if (declared <= 0 || ran.count <= 0)
    return;
  // Errors are factors, so logarithms are averaged.
  double& kind =
      scheduler.kind_slowness.emplace(endpoint.entry.kind, 1).first->second;
  const double sample =
      static_cast<double>(ran.count) / static_cast<double>(declared);
  kind = Bounded(kind * std::pow(sample / kind, kKindGain));
  endpoint.own_slowness =
      Bounded(endpoint.own_slowness *
              std::pow(sample / kind / endpoint.own_slowness, kOwnGain));
  endpoint.slowness = Bounded(kind * endpoint.own_slowness);
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
    const double usual =
        endpoint.slowness * static_cast<double>(run.expected.count);
    const auto ran = static_cast<double>((now - run.ordered_at).count);
    const double projected = ProjectedTime(run, now);
    // Before this time a share of the work in whole percent says little.
    const double judged_after =
        std::min(usual, static_cast<double>(kJudgedAfter.count)) +
        static_cast<double>(kOverdueSlack.count);
    // A run that is nearly done would lose more by starting again.
    if (ran < judged_after || projected < kOverdueFactor * usual ||
        projected - ran < kWorthMoving * usual)
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
    endpoint.own_slowness = Bounded(endpoint.own_slowness * 2);
    endpoint.slowness = Bounded(endpoint.slowness * 2);
    OrderStop(scheduler, endpoint, key, now, actions);
  }
}

}  // namespace dogwoodfall
