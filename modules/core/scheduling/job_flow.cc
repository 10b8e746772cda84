#include "core/scheduling/job_flow.h"

#include <algorithm>
#include <utility>

#include "base/erase_if.h"
#include "core/scheduling/admission.h"
#include "core/scheduling/admission_forecast.h"
#include "core/scheduling/crash_tracking.h"
#include "core/scheduling/ended_jobs.h"
#include "core/scheduling/endpoint_commands.h"
#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/endpoint_runs.h"
#include "core/scheduling/interference.h"
#include "core/scheduling/job_lease.h"
#include "core/scheduling/job_order.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/queue_packing.h"
#include "core/scheduling/speed_learning.h"
#include "core/scheduling/spillover.h"

namespace dogwoodfall {
namespace {

/** How long progress is kept for a job that has not been received yet. The
 * receiver sends the job within a few round trips.
 */
constexpr Millis kEarlyProgressRetention{2'000};
/** How long the result of a job is kept. Callers send a job again 1,300 ms
 * after a loss.
 */
constexpr Millis kResultRetention{3'000};
/** How long an endpoint whose entry was removed is expected to come back.
 * Entries that the store has lost are back 2 s after its return.
 */
constexpr Millis kRemovedEndpointRetention{10'000};
/** Time since its last answer for which an endpoint counts as up. One with runs
 * answers a renewal at least every 150 ms.
 */
constexpr Millis kMaxContactAge{200};
/** Age from which the first start of a job is logged. */
constexpr Millis kLateStart{700};

void InsertIntoQueue(Scheduler& scheduler, ScheduledJob& job, Millis now) {
  scheduler.queue.erase(job.order_key);
  job.order_key = MakeOrderKey(job, now);
  if (job.tasks_queued > 0)
    scheduler.queue.insert(job.order_key);
}

bool IsStepDone(const ScheduledJob& job, uint32_t step) {
  for (const TaskProgress& task : job.tasks[step]) {
    if (task.phase != TaskPhase::kDone)
      return false;
  }
  return true;
}

/** Queues the tasks of steps whose earlier steps have all ended. */
void UnblockSteps(ScheduledJob& job) {
  for (uint32_t step = 0; step < job.job.steps.size(); ++step) {
    const std::vector<uint32_t>& after = job.job.steps[step].after;
    const bool is_unblocked = std::all_of(
        after.begin(), after.end(),
        [&job](uint32_t earlier) { return IsStepDone(job, earlier); });
    if (!is_unblocked)
      continue;
    for (TaskProgress& task : job.tasks[step]) {
      if (task.phase != TaskPhase::kBlocked)
        continue;
      task.phase = TaskPhase::kQueued;
      ++job.tasks_queued;
    }
  }
}

ScheduledJob MakeJob(const DaemonRef& receiver,
                     const EndpointGroup& group,
                     const JobSubmission& submission) {
  ScheduledJob scheduled;
  scheduled.job = submission.job;
  scheduled.group = group;
  scheduled.receiver = receiver;
  scheduled.may_have_started = submission.may_have_started;
  scheduled.submission_sent_at = submission.sent_at_sender;
  for (const JobStep& step : scheduled.job.steps) {
    scheduled.tasks.emplace_back(step.task_count);
    scheduled.tasks_left += step.task_count;
  }
  UnblockSteps(scheduled);
  return scheduled;
}

/** Claims the runs of a job that were found on endpoints. This includes runs
 * that this daemon started before it handed the job over and received it again.
 */
void ClaimRuns(Scheduler& scheduler, const SubmissionId& job) {
  for (auto& [id, endpoint] : scheduler.endpoints) {
    std::vector<RunKey> keys;
    for (const auto& [key, run] : endpoint.runs) {
      if (key.first.job == job)
        keys.push_back(key);
    }
    for (const RunKey& key : keys)
      ClaimRun(scheduler, endpoint, key);
  }
}

bool IsTaskQueued(const ScheduledJob& job, const ActiveRun& run) {
  return run.step < job.tasks.size() &&
         run.index < job.tasks[run.step].size() &&
         job.tasks[run.step][run.index].phase == TaskPhase::kQueued;
}

/** Returns true while a reported run of a queued task may be active, whether or
 * not its endpoint can be listed here.
 */
bool HasUnlistedReportedRun(const ScheduledJob& job, Millis now) {
  return std::any_of(job.reported_runs.begin(), job.reported_runs.end(),
                     [&job, now](const ReportedRun& reported) {
                       return now < reported.active_until &&
                              IsTaskQueued(job, reported.run);
                     });
}

/** Returns true when an endpoint does not answer this daemon. */
bool IsSilent(const Scheduler& scheduler, const EndpointId& id) {
  const auto endpoint = scheduler.endpoints.find(id);
  return endpoint != scheduler.endpoints.end() &&
         endpoint->second.status != EndpointStatus::kFenced &&
         IsOutOfContact(endpoint->second);
}

/** Records the loss of silent endpoints whose reported runs have not been
 * listed and can't be active at the given time any more. May end the job.
 */
void RecordUnlistedReportedRuns(Scheduler& scheduler,
                                const ScheduledJob& job,
                                Millis active_at,
                                Millis now,
                                Actions& actions) {
  std::vector<ActiveRun> unlisted;
  for (const ReportedRun& reported : job.reported_runs) {
    if (reported.active_until <= active_at && IsTaskQueued(job, reported.run) &&
        IsSilent(scheduler, reported.run.endpoint.id))
      unlisted.push_back(reported.run);
  }
  const SubmissionId id = job.job.id;
  for (const ActiveRun& run : unlisted) {
    RecordEndpointLoss(scheduler, run.endpoint, run.endpoint.started_at_ms,
                       {{id, run.step, run.index}}, now, actions);
  }
}

LogEvent MakeJobEvent(const char* name, const ScheduledJob& job, Millis now) {
  return {name,
          {{"job", job.job.id.value},
           {"route", job.job.route},
           {"receiver", job.receiver.id.value},
           {"age_ms", std::to_string((now - job.received_at).count)},
           {"slack_ms", std::to_string((job.latest_start - now).count)}}};
}

/** Describes the size of a job: its tasks, and the run time of its longest task
 * at slowness 1, as declared and as estimated now.
 */
void AddJobSize(const Scheduler& scheduler,
                const ScheduledJob& job,
                LogEvent& event) {
  uint32_t tasks = 0;
  Millis declared;
  Millis expected;
  for (uint32_t step = 0; step < job.job.steps.size(); ++step) {
    tasks += job.job.steps[step].task_count;
    declared = std::max(declared, job.job.steps[step].declared_run_time);
    expected =
        std::max(expected, EstimateStepRunTime(scheduler, job, step, nullptr));
  }
  event.fields.emplace_back("tasks", std::to_string(tasks));
  event.fields.emplace_back("declared_ms", std::to_string(declared.count));
  event.fields.emplace_back("expected_ms", std::to_string(expected.count));
}

/** Stores progress of a job that has not been received yet. Several daemons may
 * each report a part of it.
 */
void AddEarlyProgress(Scheduler& scheduler,
                      const JobProgress& reported,
                      Millis now) {
  const auto [entry, is_first] = scheduler.early_progress.try_emplace(
      reported.job, EarlyProgress{reported, now});
  if (is_first)
    return;
  JobProgress& known = entry->second.progress;
  entry->second.received_at = now;
  known.done.insert(known.done.end(), reported.done.begin(),
                    reported.done.end());
  known.active_runs.insert(known.active_runs.end(),
                           reported.active_runs.begin(),
                           reported.active_runs.end());
  known.remaining_wait =
      std::min(known.remaining_wait, reported.remaining_wait);
  known.remaining_lease = reported.remaining_lease;
}

void LogReportedRun(const Scheduler& scheduler,
                    const SubmissionId& job,
                    const ActiveRun& run,
                    Actions& actions) {
  const auto endpoint = scheduler.endpoints.find(run.endpoint.id);
  const bool is_managed = endpoint != scheduler.endpoints.end();
  const JobTask task{job, run.step, run.index};
  const bool is_listed =
      is_managed && endpoint->second.runs.count({task, run.attempt.value}) > 0;
  actions.push_back(LogEvent{
      "run_reported",
      {{"job", job.value},
       {"task", FormatTaskPosition(task)},
       {"attempt", std::to_string(run.attempt.value)},
       {"endpoint", run.endpoint.id.value},
       {"standing",
        is_managed ? std::to_string(static_cast<int>(endpoint->second.status))
                   : "none"},
       {"listed", is_listed ? "true" : "false"}}});
}

void UpdateMeanTaskSize(Scheduler& scheduler, const TransientJob& job) {
  // Weight of one step. The moving average covers some seconds.
  constexpr double kTaskSizeSmoothing = 0.02;
  double& mean = scheduler.mean_task_millicores;
  for (const JobStep& step : job.steps) {
    const auto size = static_cast<double>(step.resources.cpu_millicores);
    mean = mean == 0 ? size : mean + kTaskSizeSmoothing * (size - mean);
  }
}

/** Stops the runs of a job.
 * @return the number of its runs
 */
size_t StopRuns(Scheduler& scheduler,
                const SubmissionId& job,
                Millis now,
                Actions& actions) {
  size_t count = 0;
  for (auto& [id, endpoint] : scheduler.endpoints) {
    auto run = endpoint.runs.lower_bound({{job, 0, 0}, 0});
    for (; run != endpoint.runs.end() && run->first.first.job == job; ++run) {
      run->second.may_requeue = false;
      SendStop(scheduler, endpoint, run->first, now, actions);
      ++count;
    }
  }
  return count;
}

/** Stops the current run of a task if it is still active. */
void StopCurrentRun(Scheduler& scheduler,
                    const JobTask& task,
                    const TaskProgress& progress,
                    Millis now,
                    Actions& actions) {
  const auto endpoint = scheduler.endpoints.find(progress.endpoint);
  if (endpoint == scheduler.endpoints.end())
    return;
  const RunKey key{task, progress.attempt};
  const auto run = endpoint->second.runs.find(key);
  if (run == endpoint->second.runs.end())
    return;
  run->second.may_requeue = false;
  SendStop(scheduler, endpoint->second, key, now, actions);
}

/** Returns true when an endpoint may get a task now. One that is suspected of
 * crashing endpoints gets an endpoint that has just answered, so that a loss
 * after the start shows more than an endpoint that was down before.
 */
bool IsUpForTask(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 const JobTask& task,
                 Millis now,
                 Actions& actions) {
  if (!IsSuspect(scheduler, task) ||
      now - endpoint.clock_read_at <= kMaxContactAge)
    return true;
  if (endpoint.pending_renewal == CommandId())
    PollEndpoint(scheduler, endpoint, now, actions);
  return false;
}

void PlaceJobTasks(Scheduler& scheduler,
                   ScheduledJob& job,
                   Millis now,
                   Actions& actions) {
  for (uint32_t step = 0; step < job.tasks.size(); ++step) {
    if (job.tasks_queued == 0)
      return;
    const Millis expected_run_time =
        EstimateStepRunTime(scheduler, job, step, nullptr);
    for (uint32_t index = 0; index < job.tasks[step].size(); ++index) {
      TaskProgress& task = job.tasks[step][index];
      if (task.phase != TaskPhase::kQueued)
        continue;
      ManagedEndpoint* endpoint =
          ChooseEndpoint(scheduler, job, step, index, expected_run_time, now);
      if (endpoint == nullptr)
        break;  // The other tasks of the step need the same resources.
      if (!IsUpForTask(scheduler, *endpoint, {job.job.id, step, index}, now,
                       actions))
        continue;
      task.phase = TaskPhase::kPlaced;
      task.endpoint = endpoint->entry.id;
      ++task.attempt;
      --job.tasks_queued;
      SendStart(scheduler, *endpoint, job, {job.job.id, step, index},
                expected_run_time, now, actions);
    }
  }
}

/** Starts queued tasks of a job, unless runs of it may be active that are not
 * known here. May end the job.
 */
void PlaceQueuedJob(Scheduler& scheduler,
                    const SubmissionId& id,
                    Millis now,
                    Actions& actions) {
  ScheduledJob& job = scheduler.jobs.at(id);
  if (!MayStartTasks(scheduler, id, now) ||
      MayHaveUnknownRuns(scheduler, job, now))
    return;
  RecordUnlistedReportedRuns(scheduler, job, now, now, actions);
  if (scheduler.jobs.count(id) == 0)
    return;
  PlaceJobTasks(scheduler, job, now, actions);
  if (job.tasks_queued == 0)
    scheduler.queue.erase(job.order_key);
}

/** Starts the queued tasks that fill the free capacity best.
 * @see queue_packing.h
 */
void PackTasks(Scheduler& scheduler, Millis now, Actions& actions) {
  const std::vector<const ManagedEndpoint*> endpoints =
      FindEndpointsWithRoom(scheduler, now);
  ReserveCapacity(scheduler, endpoints, now, actions);
  for (const SubmissionId& id : ChooseJobsToPlace(scheduler, endpoints, now)) {
    // An earlier job may have ended this one, or have used the capacity.
    const auto job = scheduler.jobs.find(id);
    if (job == scheduler.jobs.end() ||
        !FitsFreeCapacity(endpoints, job->second))
      continue;
    const uint64_t starts = scheduler.counters.starts;
    PlaceQueuedJob(scheduler, id, now, actions);
    scheduler.counters.packed_starts += scheduler.counters.starts - starts;
  }
}

/** Refuses the jobs that can't start in time by the forecast. */
void RefuseByForecast(Scheduler& scheduler, Millis now, Actions& actions) {
  UpdateDrainRate(scheduler, now);
  for (const SubmissionId& id : ChooseJobsToRefuse(scheduler, now)) {
    const auto job = scheduler.jobs.find(id);
    if (job == scheduler.jobs.end())
      continue;
    ++scheduler.counters.forecast_refusals;
    EndJob(scheduler, id,
           {JobResult::kRefused, ComputeRetryAfter(scheduler, job->second, now),
            "no_room_in_time"},
           now, actions);
  }
}

}  // namespace

void AcceptJob(Scheduler& scheduler,
               const DaemonRef& receiver,
               const EndpointGroup& group,
               const JobSubmission& submission,
               Millis now,
               Actions& actions) {
  const TransientJob& job = submission.job;
  const auto known = scheduler.jobs.find(job.id);
  if (known != scheduler.jobs.end()) {
    GrantJobLease(scheduler, job.id, submission.sent_at);
    known->second.may_have_started |= submission.may_have_started;
    if (receiver == known->second.receiver)
      known->second.submission_sent_at = submission.sent_at_sender;
    known->second.has_changed_group |=
        !(known->second.group == submission.group);
    std::vector<DaemonRef>& others = known->second.other_receivers;
    if (receiver != known->second.receiver &&
        std::find(others.begin(), others.end(), receiver) == others.end()) {
      others.push_back(receiver);
      // Another scheduler has the job by that receiver's submission.
      if (!known->second.has_complete_progress)
        known->second.start_blocked_until =
            std::max(known->second.start_blocked_until,
                     now + submission.max_progress_wait);
    }
    known->second.caller_deadline =
        std::max(known->second.caller_deadline, now + job.time_left);
    // The routes may have changed since the job was first sent.
    known->second.job.max_attempts =
        std::max(known->second.job.max_attempts, job.max_attempts);
    actions.push_back(MakeJobEvent("job_joined", known->second, now));
    return;
  }
  const auto retained = scheduler.retained_results.find(job.id);
  if (retained != scheduler.retained_results.end()) {
    const auto& [outcome, ended_at] = retained->second;
    actions.push_back(
        LogEvent{"job_result_repeated",
                 {{"job", job.id.value},
                  {"receiver", receiver.id.value},
                  {"end", std::to_string(static_cast<int>(outcome.result))},
                  {"reason", outcome.reason},
                  {"ended_ms_ago", std::to_string((now - ended_at).count)}}});
    scheduler.finished.push_back(FinishedJob::Ended(receiver, job.id, outcome));
    return;
  }
  RenewCrashRecords(scheduler, job.id, now);
  if (HasGivenUpTask(scheduler, job.id)) {
    const JobOutcome outcome = MakeGivenUpOutcome();
    actions.push_back(
        LogEvent{"job_given_up_before",
                 {{"job", job.id.value},
                  {"receiver", receiver.id.value},
                  {"end", std::to_string(static_cast<int>(outcome.result))},
                  {"lost", DescribeGivenUpTasks(scheduler, job.id)}}});
    scheduler.finished.push_back(FinishedJob::Ended(receiver, job.id, outcome));
    return;
  }
  ++scheduler.counters.jobs;
  UpdateMeanTaskSize(scheduler, job);
  const Millis former_runs =
      std::max(GetFormerRunsEnd(scheduler, job.id, now) - now, Millis());
  ScheduledJob& accepted =
      scheduler.jobs.emplace(job.id, MakeJob(receiver, group, submission))
          .first->second;
  GrantJobLease(scheduler, job.id, submission.sent_at);
  GrantAnnouncementLease(scheduler, job.id, now - job.age);
  accepted.accepted_at = now;
  accepted.has_changed_group = !(group == submission.group);
  accepted.start_blocked_until = now + submission.max_progress_wait;
  PredictRunTimes(accepted, scheduler.run_times);
  scheduler.counters.run_time_predictions += accepted.run_times.size();
  SetJobDeadlines(accepted, scheduler.run_times, scheduler.fast_slowness, now);
  if (scheduler.options.admission_forecast)
    RecordDemand(scheduler, accepted, now);
  const auto early = scheduler.early_progress.find(job.id);
  if (early != scheduler.early_progress.end()) {
    JobProgress progress = early->second.progress;
    // Progress from before its receiver got the job is of an earlier
    // submission of it.
    if (now - early->second.received_at > job.age)
      progress.remaining_wait =
          std::max(progress.remaining_wait, submission.max_progress_wait);
    progress.remaining_lease =
        progress.remaining_lease - (now - early->second.received_at);
    scheduler.early_progress.erase(early);
    ApplyJobProgress(scheduler, progress, submission.view_revision, now,
                     actions);
    if (scheduler.jobs.count(job.id) == 0)
      return;
  }
  ClaimRuns(scheduler, job.id);
  LogEvent event = MakeJobEvent("job_taken", accepted, now);
  AddJobSize(scheduler, accepted, event);
  event.fields.emplace_back("former_runs_ms",
                            std::to_string(former_runs.count));
  actions.push_back(std::move(event));
  std::optional<JobOutcome> refusal = DecideAdmission(scheduler, accepted, now);
  if (refusal && refusal->result == JobResult::kRefused &&
      ForgetUnverifiedTimes(scheduler, job, now, actions)) {
    SetJobDeadlines(accepted, scheduler.run_times, scheduler.fast_slowness,
                    now);
    refusal = DecideAdmission(scheduler, accepted, now);
  }
  if (refusal) {
    EndJob(scheduler, job.id, *refusal, now, actions);
    return;
  }
  InsertIntoQueue(scheduler, accepted, now);
  PlaceTasks(scheduler, now, actions);
}

void RecordStart(Scheduler& scheduler,
                 ScheduledJob& job,
                 Millis now,
                 Actions& actions) {
  if (!job.has_started && now - job.received_at >= kLateStart) {
    LogEvent event = MakeJobEvent("job_started_late", job, now);
    event.fields.emplace_back("may_have_started",
                              job.may_have_started ? "true" : "false");
    actions.push_back(std::move(event));
  }
  job.has_started = true;
  RecordRouteActivity(scheduler, job.job.route, now);
}

bool ClaimRun(Scheduler& scheduler,
              ManagedEndpoint& endpoint,
              const RunKey& key) {
  TaskProgress* progress = FindTask(scheduler, key.first);
  if (progress == nullptr || progress->phase != TaskPhase::kQueued)
    return false;
  ScheduledJob& job = scheduler.jobs.at(key.first.job);
  progress->phase = TaskPhase::kPlaced;
  progress->attempt = std::max(progress->attempt, key.second);
  progress->endpoint = endpoint.entry.id;
  --job.tasks_queued;
  job.has_started = true;
  Run& run = endpoint.runs.at(key);
  run.may_requeue = true;
  if (run.is_claimed)
    return true;
  run.is_claimed = true;
  if (run.state == RunState::kUnclaimed)
    run.state = RunState::kRunning;
  run.resources = job.job.steps[key.first.step].resources;
  run.expected_run_time =
      EstimateStepRunTime(scheduler, job, key.first.step, &key);
  endpoint.used = endpoint.used + run.resources;
  return true;
}

void ApplyJobProgress(Scheduler& scheduler,
                      const JobProgress& progress,
                      uint64_t fencing_token,
                      Millis now,
                      Actions& actions) {
  const auto found = scheduler.jobs.find(progress.job);
  if (found == scheduler.jobs.end()) {
    AddEarlyProgress(scheduler, progress, now);
    return;
  }
  ScheduledJob& job = found->second;
  job.has_complete_progress = progress.remaining_wait == Millis();
  if (job.has_complete_progress) {
    job.start_blocked_until = Millis();
    RenewAnnouncementLease(
        scheduler, progress.job,
        now + std::min(progress.remaining_lease, kHandedOverJobLease));
  } else {
    job.start_blocked_until =
        std::max(job.start_blocked_until, now + progress.remaining_wait);
  }
  for (const ActiveRun& run : progress.active_runs) {
    job.has_started = true;
    job.may_have_started = true;
    job.reported_runs.push_back({run, now, now + kMaxLease});
    LogReportedRun(scheduler, progress.job, run, actions);
    if (run.step < job.tasks.size() && run.index < job.tasks[run.step].size()) {
      uint32_t& attempt = job.tasks[run.step][run.index].attempt;
      attempt = std::max(attempt, run.attempt.value);
    }
    const auto known = scheduler.endpoints.find(run.endpoint.id);
    if (known != scheduler.endpoints.end()) {
      const RunKey key{{progress.job, run.step, run.index}, run.attempt.value};
      if (known->second.runs.count(key) == 0)
        RestartReconciliation(scheduler, known->second, now, actions);
      continue;
    }
    TakeOwnershipOfEndpoint(scheduler, run.endpoint, job.group, fencing_token,
                            now, actions);
    scheduler.endpoints.at(run.endpoint.id).is_held_for_reported_runs = true;
  }
  for (const auto& [step, index] : progress.done)
    RecordTaskSuccess(scheduler, {progress.job, step, index}, {}, now, actions);
}

JobProgress MakeJobProgress(const Scheduler& scheduler,
                            const ScheduledJob& job,
                            Millis now) {
  JobProgress progress;
  progress.job = job.job.id;
  progress.remaining_lease =
      std::max(GetJobLeaseEnd(scheduler, job.job.id) - now, Millis());
  if (job.may_have_started)
    progress.remaining_wait = std::max(job.start_blocked_until - now, Millis());
  for (uint32_t step = 0; step < job.tasks.size(); ++step) {
    for (uint32_t index = 0; index < job.tasks[step].size(); ++index) {
      const TaskProgress& task = job.tasks[step][index];
      if (task.phase == TaskPhase::kDone)
        progress.done.emplace_back(step, index);
      const auto endpoint = scheduler.endpoints.find(task.endpoint);
      if (task.phase == TaskPhase::kPlaced &&
          endpoint != scheduler.endpoints.end()) {
        progress.active_runs.push_back(
            {step, index, Attempt(task.attempt),
             MakeIncarnationEntry(endpoint->second)});
      }
    }
  }
  for (const ReportedRun& reported : job.reported_runs) {
    if (IsTaskQueued(job, reported.run))
      progress.active_runs.push_back(reported.run);
  }
  return progress;
}

std::optional<ScheduledJob> RemoveJob(Scheduler& scheduler,
                                      const SubmissionId& id) {
  const auto found = scheduler.jobs.find(id);
  if (found == scheduler.jobs.end())
    return std::nullopt;
  scheduler.queue.erase(found->second.order_key);
  ScheduledJob job = std::move(found->second);
  scheduler.jobs.erase(found);
  return job;
}

void EndJob(Scheduler& scheduler,
            const SubmissionId& id,
            const JobOutcome& requested_outcome,
            Millis now,
            Actions& actions) {
  const std::optional<ScheduledJob> removed = RemoveJob(scheduler, id);
  if (!removed)
    return;
  const ScheduledJob& job = *removed;
  JobOutcome outcome = requested_outcome;
  // kRefused guarantees that nothing has run, here or on a previous scheduler.
  if (outcome.result == JobResult::kRefused &&
      (job.has_started || job.may_have_started))
    outcome.result = JobResult::kAbandoned;
  if (outcome.result == JobResult::kAbandoned)
    LearnFromAbandonedJob(scheduler, job);
  StopRuns(scheduler, id, now, actions);
  RecordEndedJob(scheduler, job, now);
  ++scheduler.counters.job_results[static_cast<size_t>(outcome.result)];
  LogEvent event = MakeJobEvent("job_ended", job, now);
  AddJobSize(scheduler, job, event);
  event.fields.emplace_back("end",
                            std::to_string(static_cast<int>(outcome.result)));
  event.fields.emplace_back("tasks_left", std::to_string(job.tasks_left));
  event.fields.emplace_back("tasks_queued", std::to_string(job.tasks_queued));
  event.fields.emplace_back("reason", outcome.reason);
  const Millis runs_left =
      std::max(GetFormerRunsEnd(scheduler, id, now) - now, Millis());
  event.fields.emplace_back("runs_left_ms", std::to_string(runs_left.count));
  actions.push_back(std::move(event));
  if (outcome.result == JobResult::kCompleted ||
      outcome.result == JobResult::kFailed)
    scheduler.retained_results[id] = {outcome, now};
  // Nobody waits for the end of these leases any more.
  if (outcome.result != JobResult::kCompleted)
    RecordUnlistedReportedRuns(scheduler, job, now + kMaxLease, now, actions);
  if (outcome.result != JobResult::kCompleted && HasSuspect(scheduler, id))
    scheduler.unannounced_losses.insert(id);
  scheduler.finished.push_back(FinishedJob::Ended(job.receiver, id, outcome));
  for (const DaemonRef& receiver : job.other_receivers)
    scheduler.finished.push_back(FinishedJob::Ended(receiver, id, outcome));
}

void CancelJob(Scheduler& scheduler,
               const SubmissionId& id,
               const DaemonRef& receiver,
               const std::string& reason,
               Millis now,
               Actions& actions) {
  const auto found = scheduler.jobs.find(id);
  if (found == scheduler.jobs.end()) {
    // After a handover, runs may be active here without their job.
    const size_t runs = StopRuns(scheduler, id, now, actions);
    RecordWithdrawnJob(scheduler, id, now);
    scheduler.early_progress.erase(id);
    actions.push_back(LogEvent{"job_cancel_unknown",
                               {{"job", id.value},
                                {"receiver", receiver.id.value},
                                {"reason", reason},
                                {"runs", std::to_string(runs)}}});
    return;
  }
  ScheduledJob& job = found->second;
  std::vector<DaemonRef>& others = job.other_receivers;
  others.erase(std::remove(others.begin(), others.end(), receiver),
               others.end());
  if (job.receiver != receiver)
    return;
  if (!others.empty()) {
    job.receiver = others.back();
    others.pop_back();
    return;
  }
  EndJob(scheduler, id, {JobResult::kAbandoned, {}, reason}, now, actions);
  scheduler.finished.pop_back();
}

void StopLeftRuns(Scheduler& scheduler,
                  const SubmissionId& id,
                  const std::string& reason,
                  Millis now,
                  Actions& actions) {
  if (scheduler.jobs.count(id) > 0)
    return;
  const size_t runs = StopRuns(scheduler, id, now, actions);
  RecordWithdrawnJob(scheduler, id, now);
  if (runs > 0)
    actions.push_back(LogEvent{"left_runs_stopped",
                               {{"job", id.value},
                                {"reason", reason},
                                {"runs", std::to_string(runs)}}});
}

void PlaceTasks(Scheduler& scheduler, Millis now, Actions& actions) {
  if (now < scheduler.starts_blocked_until)
    return;
  // A single job leaves nothing to choose.
  if (scheduler.options.packing && scheduler.queue.size() > 1) {
    PackTasks(scheduler, now, actions);
    return;
  }
  scheduler.reservations.clear();
  std::vector<SubmissionId> queued_jobs;
  for (const JobOrderKey& key : scheduler.queue)
    queued_jobs.push_back(key.second);
  // Other jobs would take each fast endpoint that becomes free.
  std::stable_partition(queued_jobs.begin(), queued_jobs.end(),
                        [&scheduler, now](const SubmissionId& id) {
                          return NeedsFastEndpoints(scheduler,
                                                    scheduler.jobs.at(id), now);
                        });
  for (const SubmissionId& id : queued_jobs)
    PlaceQueuedJob(scheduler, id, now, actions);
}

void ReviewQueue(Scheduler& scheduler, Millis now, Actions& actions) {
  if (scheduler.options.packing)
    UpdateLoadTrends(scheduler, now);
  std::vector<SubmissionId> queued_jobs;
  for (const JobOrderKey& key : scheduler.queue)
    queued_jobs.push_back(key.second);
  for (const SubmissionId& id : queued_jobs) {
    ScheduledJob& job = scheduler.jobs.at(id);
    std::optional<JobOutcome> refusal = ReviewWaitingJob(scheduler, job, now);
    if (refusal && ForgetUnverifiedTimes(scheduler, job.job, now, actions))
      refusal = ReviewWaitingJob(scheduler, job, now);
    if (refusal)
      EndJob(scheduler, id, *refusal, now, actions);
    else
      InsertIntoQueue(scheduler, job, now);
  }
  if (scheduler.options.admission_forecast)
    RefuseByForecast(scheduler, now, actions);
  EraseIf(scheduler.early_progress, [now](const EarlyProgress& early) {
    return now - early.received_at > kEarlyProgressRetention;
  });
  RemoveExpiredCrashRecords(scheduler, now);
  EraseIf(scheduler.endpoint_history, [now](const EndpointHistory& history) {
    return history.removed_at != Millis() &&
           now - history.removed_at > kRemovedEndpointRetention;
  });
  EraseIf(scheduler.retained_results, [now](const RetainedResult& result) {
    return now - result.ended_at > kResultRetention;
  });
  std::vector<SubmissionId> expired;
  for (const auto& [id, job] : scheduler.jobs) {
    if (job.caller_deadline <= now)
      expired.push_back(id);
  }
  for (const SubmissionId& id : expired) {
    const bool has_started = scheduler.jobs.at(id).has_started;
    EndJob(scheduler, id,
           {has_started ? JobResult::kAbandoned : JobResult::kRefused,
            {},
            "time_limit"},
           now, actions);
  }
}

bool MayHaveUnknownRuns(const Scheduler& scheduler,
                        const ScheduledJob& job,
                        Millis now) {
  if (GetFormerRunsEnd(scheduler, job.job.id, now) != Millis())
    return true;
  if (!job.may_have_started)
    return false;
  return now < job.start_blocked_until ||
         HasReconcilingEndpoint(scheduler, job.group, now) ||
         HasUnlistedReportedRun(job, now);
}

TaskProgress* FindTask(Scheduler& scheduler, const JobTask& task) {
  const auto job = scheduler.jobs.find(task.job);
  if (job == scheduler.jobs.end() || task.step >= job->second.tasks.size() ||
      task.index >= job->second.tasks[task.step].size())
    return nullptr;
  return &job->second.tasks[task.step][task.index];
}

void RecordTaskSuccess(Scheduler& scheduler,
                       const JobTask& task,
                       Millis run_time,
                       Millis now,
                       Actions& actions) {
  TaskProgress* progress = FindTask(scheduler, task);
  if (progress == nullptr || progress->phase == TaskPhase::kDone)
    return;
  ScheduledJob& job = scheduler.jobs.at(task.job);
  if (progress->phase == TaskPhase::kQueued)
    --job.tasks_queued;
  else if (progress->phase == TaskPhase::kPlaced)
    StopCurrentRun(scheduler, task, *progress, now, actions);
  progress->phase = TaskPhase::kDone;
  progress->run_time = run_time;
  --job.tasks_left;
  if (job.tasks_left == 0) {
    LearnInterference(scheduler, job);
    LearnFromJob(scheduler, job, now);
    if (scheduler.options.admission_forecast)
      RecordService(scheduler, job, now);
    EndJob(scheduler, task.job, {JobResult::kCompleted, {}, "all_done"}, now,
           actions);
    return;
  }
  UnblockSteps(job);
  InsertIntoQueue(scheduler, job, now);
}

void RecordTaskFailure(Scheduler& scheduler,
                       const JobTask& task,
                       Millis now,
                       Actions& actions) {
  TaskProgress* progress = FindTask(scheduler, task);
  if (progress == nullptr)
    return;
  ++progress->failures;
  if (progress->failures >= scheduler.jobs.at(task.job).job.max_attempts) {
    EndJob(scheduler, task.job, {JobResult::kFailed, {}, "attempts_used"}, now,
           actions);
  }
}

void ExtendReportedRuns(Scheduler& scheduler,
                        const EndpointId& endpoint,
                        Millis now) {
  for (auto& [id, job] : scheduler.jobs) {
    for (ReportedRun& reported : job.reported_runs) {
      if (reported.run.endpoint.id == endpoint)
        reported.active_until = now + kMaxLease;
    }
  }
}

void RemoveListedReports(Scheduler& scheduler,
                         const ManagedEndpoint& endpoint,
                         Millis listed_at,
                         Millis now,
                         Actions& actions) {
  // Runs of an earlier incarnation of the endpoint were lost with it.
  std::vector<std::pair<JobTask, EndpointEntry>> lost;
  for (auto& [id, job] : scheduler.jobs) {
    std::vector<ReportedRun> remaining;
    for (const ReportedRun& reported : job.reported_runs) {
      const ActiveRun& run = reported.run;
      if (run.endpoint.id != endpoint.entry.id ||
          reported.reported_at > listed_at) {
        remaining.push_back(reported);
        continue;
      }
      if (IsTaskQueued(job, run) && run.endpoint.started_at_ms != 0 &&
          endpoint.started_at_ms != 0 &&
          run.endpoint.started_at_ms != endpoint.started_at_ms)
        lost.push_back({{id, run.step, run.index}, run.endpoint});
    }
    job.reported_runs = std::move(remaining);
  }
  for (const auto& [task, entry] : lost) {
    RecordEndpointLoss(scheduler, entry, entry.started_at_ms, {task}, now,
                       actions);
  }
}

void RequeueTaskAfterLease(Scheduler& scheduler,
                           const EndpointEntry& endpoint,
                           const RunKey& run,
                           Millis now) {
  const ActiveRun active{run.first.step, run.first.index, Attempt(run.second),
                         endpoint};
  const auto job = scheduler.jobs.find(run.first.job);
  if (job == scheduler.jobs.end()) {
    // The job may come back while the run is active.
    JobProgress incomplete;
    incomplete.job = run.first.job;
    incomplete.active_runs = {active};
    incomplete.remaining_wait = {1};
    AddEarlyProgress(scheduler, incomplete, now);
    return;
  }
  job->second.may_have_started = true;
  job->second.reported_runs.push_back({active, now, now + kMaxLease});
  RequeueTask(scheduler, endpoint.id, run, now);
}

bool IsCurrentRun(Scheduler& scheduler,
                  const EndpointId& endpoint,
                  const RunKey& run) {
  const TaskProgress* progress = FindTask(scheduler, run.first);
  return progress != nullptr && progress->phase == TaskPhase::kPlaced &&
         progress->attempt == run.second && progress->endpoint == endpoint;
}

void RequeueTask(Scheduler& scheduler,
                 const EndpointId& endpoint,
                 const RunKey& run,
                 Millis now) {
  if (!IsCurrentRun(scheduler, endpoint, run))
    return;
  TaskProgress* progress = FindTask(scheduler, run.first);
  ScheduledJob& job = scheduler.jobs.at(run.first.job);
  progress->phase = TaskPhase::kQueued;
  ++job.tasks_queued;
  InsertIntoQueue(scheduler, job, now);
}

}  // namespace dogwoodfall
