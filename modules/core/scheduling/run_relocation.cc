#include "core/scheduling/run_relocation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/scheduling/endpoint_commands.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

/** Time from the decision to the new start: the stop, its listing and the
 * start.
 */
constexpr Millis kRelocationDelay{60};
/** Time from the end of a task to the caller's answer. */
constexpr Millis kAnswerDelay{10};
/** Factor on the run time on the new endpoint; tasks of a job differ by 15 %.
 */
constexpr double kRunTimeMargin = 1.15;

/** An active run that would end too late. */
struct LateRun {
  ManagedEndpoint* endpoint = nullptr;
  RunKey key;
};

/** Returns the runs that will miss their caller's deadline, by job. */
std::map<SubmissionId, std::vector<LateRun>> FindLateRuns(
    Scheduler& scheduler) {
  std::map<SubmissionId, std::vector<LateRun>> late_runs;
  for (auto& [id, endpoint] : scheduler.endpoints) {
    for (const auto& [key, run] : endpoint.runs) {
      if (run.state != RunState::kRunning ||
          run.percent < kMinProjectionPercent)
        continue;
      const auto job = scheduler.jobs.find(key.first.job);
      if (job == scheduler.jobs.end())
        continue;
      const Millis projected_end =
          run.start_sent_at + Millis{std::llround(ProjectRunTime(run))};
      if (projected_end + kAnswerDelay > job->second.caller_deadline)
        late_runs[key.first.job].push_back({&endpoint, key});
    }
  }
  return late_runs;
}

/** Capacity that the runs to relocate will occupy, by endpoint. */
using PlannedUse = std::map<EndpointId, TaskResources>;

/** Chooses an endpoint on which a task of a job ends in time and that has free
 * capacity besides the planned use; null when there is none.
 */
const ManagedEndpoint* FindFasterEndpoint(const Scheduler& scheduler,
                                          const ScheduledJob& job,
                                          const LateRun& late_run,
                                          const PlannedUse& planned,
                                          Millis now) {
  const JobTask& task = late_run.key.first;
  const auto run_time_ms = static_cast<double>(
      EstimateStepRunTime(scheduler, job, task.step, nullptr).count);
  const auto time_left_ms = static_cast<double>(
      (job.caller_deadline - kAnswerDelay - kRelocationDelay - now).count);
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (&endpoint == late_run.endpoint ||
        kRunTimeMargin * endpoint.slowness * run_time_ms > time_left_ms)
      continue;
    const auto use = planned.find(id);
    const TaskResources additional_use =
        use == planned.end() ? TaskResources() : use->second;
    if (MayRunNow(scheduler, endpoint, job, task.step,
                  job.tasks[task.step][task.index], additional_use, now))
      return &endpoint;
  }
  return nullptr;
}

/** Plans the relocation of all late runs of a job.
 * @return false when one of them has no endpoint to go to
 */
bool PlanRelocation(const Scheduler& scheduler,
                    const ScheduledJob& job,
                    const std::vector<LateRun>& late_runs,
                    PlannedUse& planned,
                    Millis now) {
  PlannedUse extended = planned;
  for (const LateRun& late_run : late_runs) {
    const ManagedEndpoint* target =
        FindFasterEndpoint(scheduler, job, late_run, extended, now);
    if (target == nullptr)
      return false;
    TaskResources& use = extended[target->entry.id];
    use = use + job.job.steps[late_run.key.first.step].resources;
  }
  planned = std::move(extended);
  return true;
}

}  // namespace

void RelocateRuns(Scheduler& scheduler, Millis now, Actions& actions) {
  PlannedUse planned;
  for (const auto& [id, late_runs] : FindLateRuns(scheduler)) {
    const ScheduledJob& job = scheduler.jobs.at(id);
    // Tasks that wait need the free capacity themselves.
    if (job.tasks_queued > 0 ||
        !PlanRelocation(scheduler, job, late_runs, planned, now))
      continue;
    actions.push_back(LogEvent{
        "job_relocated",
        {{"job", id.value},
         {"tasks", std::to_string(late_runs.size())},
         {"left_ms", std::to_string((job.caller_deadline - now).count)}}});
    for (const LateRun& late_run : late_runs) {
      ++scheduler.counters.relocated_runs;
      SendStop(scheduler, *late_run.endpoint, late_run.key, now, actions);
    }
  }
}

}  // namespace dogwoodfall
