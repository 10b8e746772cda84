#include "core/scheduling/slow_run_cause.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "core/scheduling/job_order.h"
#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

/** Share of slow endpoints that is assumed besides those that are known. */
constexpr double kUnknownSlowEndpoints = 0.005;
/** A job counts as long from this share of the projected run time on, as a
 * projection may be that much too high.
 */
constexpr double kLongJobShare = 0.6;

/** Mean of the logarithms of the slowdowns of runs. */
struct LogMean {
  double sum = 0;
  int count = 0;

  double Get() const { return this->sum / std::max(this->count, 1); }
};

/** Returns the run time, in ms, that the progress of a run shows: the projected
 * one, or at first the least one if it is beyond the expected one already; 0
 * while it shows neither.
 */
double GetShownRunTime(const Run& run, double expected_ms) {
  if (run.state != RunState::kRunning)
    return 0;
  if (run.percent >= kMinSpeedPercent)
    return std::max(ProjectRunTime(run), 1.0);
  const double min_run_time_ms = ProjectMinRunTime(run);
  return min_run_time_ms > expected_ms ? min_run_time_ms : 0;
}

/** Adds a run that shows its speed. */
void AddRun(LogMean& mean,
            const ManagedEndpoint& endpoint,
            const Run& run,
            Millis expected_run_time) {
  const double expected_ms =
      endpoint.slowness *
      static_cast<double>(std::max<int64_t>(expected_run_time.count, 1));
  const double shown_ms = GetShownRunTime(run, expected_ms);
  if (shown_ms <= 0)
    return;
  mean.sum += std::log(shown_ms / expected_ms);
  ++mean.count;
}

/** Returns the mean of the other tasks of a run's step, compared with the
 * expected run time of that run.
 */
LogMean MeasureOtherTasks(const Scheduler& scheduler,
                          const ScheduledJob& job,
                          const RunKey& key,
                          Millis expected_run_time) {
  LogMean mean;
  for (uint32_t index = 0; index < job.tasks[key.first.step].size(); ++index) {
    if (index == key.first.index)
      continue;
    const TaskProgress& task = job.tasks[key.first.step][index];
    const auto endpoint = scheduler.endpoints.find(task.endpoint);
    if (endpoint == scheduler.endpoints.end())
      continue;
    Run run;
    if (task.phase == TaskPhase::kDone && task.run_time > Millis()) {
      run.state = RunState::kRunning;
      run.percent = 100;
      run.percent_updated_at = task.run_time;
    } else {
      const auto found = endpoint->second.runs.find(
          {{key.first.job, key.first.step, index}, task.attempt});
      if (task.phase != TaskPhase::kPlaced ||
          found == endpoint->second.runs.end())
        continue;
      run = found->second;
    }
    AddRun(mean, endpoint->second, run, expected_run_time);
  }
  return mean;
}

/** Returns the mean of the runs of other jobs on an endpoint. */
LogMean MeasureNeighbours(const ManagedEndpoint& endpoint, const RunKey& key) {
  LogMean mean;
  for (const auto& [other, run] : endpoint.runs) {
    if (other.first.job != key.first.job)
      AddRun(mean, endpoint, run, run.expected_run_time);
  }
  return mean;
}

/** Returns the share of the usable endpoints that are slow, as far as known. */
double GetShareOfSlowEndpoints(const Scheduler& scheduler) {
  double slow = 0;
  double all = 0;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.status != EndpointStatus::kUsable)
      continue;
    all += 1;
    if (endpoint.slowness >=
        kMaxUsableSlownessFactor * scheduler.median_slowness)
      slow += 1;
  }
  return slow / std::max(all, 1.0) + kUnknownSlowEndpoints;
}

}  // namespace

double ProjectMinRunTime(const Run& run) {
  if (run.percent <= 0)
    return 0;
  constexpr double kFullPercent = 100;
  return kFullPercent *
         static_cast<double>(
             (run.percent_updated_at - run.start_sent_at).count) /
         (run.percent + 1);
}

bool IsLongJob(const Scheduler& scheduler,
               const ManagedEndpoint& endpoint,
               const RunKey& key,
               double projected_ms) {
  const auto job = scheduler.jobs.find(key.first.job);
  const auto run = endpoint.runs.find(key);
  if (job == scheduler.jobs.end() || run == endpoint.runs.end())
    return false;
  const Millis expected_run_time = run->second.expected_run_time;
  const double at_slowness_1_ms =
      std::max(projected_ms, 1.0) / endpoint.slowness;
  const double log_slowdown =
      std::log(at_slowness_1_ms / static_cast<double>(std::max<int64_t>(
                                      expected_run_time.count, 1)));
  const LogMean tasks =
      MeasureOtherTasks(scheduler, job->second, key, expected_run_time);
  // The cause is the one that explains more than half of the slowdown.
  if (tasks.count > 0)
    return tasks.Get() >= log_slowdown / 2;
  const LogMean neighbours = MeasureNeighbours(endpoint, key);
  if (neighbours.count > 0)
    return neighbours.Get() < log_slowdown / 2;
  const RunTimeDistribution* distribution = FindDistribution(
      scheduler.run_times.distributions, job->second.job.route);
  if (distribution == nullptr)
    return false;
  const Millis projected{std::llround(kLongJobShare * at_slowness_1_ms)};
  const Millis declared =
      job->second.job.steps[key.first.step].declared_run_time;
  const double is_shorter =
      ProbabilityOfAtMost(PredictRunTime(*distribution, declared), projected);
  return 1 - is_shorter > GetShareOfSlowEndpoints(scheduler);
}

}  // namespace dogwoodfall
