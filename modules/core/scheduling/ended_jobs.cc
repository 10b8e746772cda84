#include "core/scheduling/ended_jobs.h"

#include <algorithm>
#include <iterator>

#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/job_lease.h"

namespace dogwoodfall {
namespace {

bool HasRuns(const Scheduler& scheduler, const SubmissionId& id) {
  return std::any_of(scheduler.endpoints.begin(), scheduler.endpoints.end(),
                     [&id](const auto& entry) {
                       const auto& runs = entry.second.runs;
                       const auto run = runs.lower_bound({{id, 0, 0}, 0});
                       return run != runs.end() && run->first.first.job == id;
                     });
}

/** Returns the time by which the runs have ended that were reported for a job
 * or that its previous scheduler may have started.
 */
Millis GetReportedRunsEnd(const ScheduledJob& job) {
  Millis end = job.may_have_started ? job.start_blocked_until : Millis();
  for (const ReportedRun& reported : job.reported_runs)
    end = std::max(end, reported.active_until);
  return end;
}

EndedJob& AddRecord(Scheduler& scheduler,
                    const SubmissionId& id,
                    Millis runs_ended_at,
                    bool has_unknown_runs) {
  EndedJob& ended = scheduler.ended_jobs[id];
  ended.runs_ended_at = std::max(ended.runs_ended_at, runs_ended_at);
  ended.has_unknown_runs |= has_unknown_runs;
  return ended;
}

/** Returns true once no run of a recorded job can be active. */
bool HasEnded(const Scheduler& scheduler,
              const SubmissionId& id,
              const EndedJob& job,
              Millis now) {
  return job.runs_ended_at <= now ||
         (!job.has_unknown_runs && !HasRuns(scheduler, id));
}

}  // namespace

void RecordEndedJob(Scheduler& scheduler, const ScheduledJob& job, Millis now) {
  const SubmissionId& id = job.job.id;
  const Millis reported_end = GetReportedRunsEnd(job);
  const bool has_unknown_runs = reported_end > now;
  if (!has_unknown_runs && !HasRuns(scheduler, id))
    return;
  EndedJob& ended = AddRecord(
      scheduler, id, std::max(reported_end, GetRunsEndedAt(scheduler, id)),
      has_unknown_runs);
  ended.group = job.group;
  ended.received_at = job.received_at;
}

void RecordWithdrawnJob(Scheduler& scheduler,
                        const SubmissionId& id,
                        bool has_runs,
                        Millis now) {
  if (has_runs)
    AddRecord(scheduler, id, GetRunsEndedAt(scheduler, id), false);
  const auto early = scheduler.early_progress.find(id);
  if (early == scheduler.early_progress.end())
    return;
  const JobProgress& progress = early->second.progress;
  const Millis wait =
      progress.active_runs.empty() ? progress.remaining_wait : kMaxLease;
  if (early->second.received_at + wait > now)
    AddRecord(scheduler, id, early->second.received_at + wait, true);
}

void RecordReleasedRuns(Scheduler& scheduler, const ManagedEndpoint& endpoint) {
  for (const auto& [key, run] : endpoint.runs) {
    const auto ended = scheduler.ended_jobs.find(key.first.job);
    if (ended != scheduler.ended_jobs.end())
      ended->second.has_unknown_runs = true;
  }
}

Millis GetFormerRunsEnd(const Scheduler& scheduler,
                        const SubmissionId& id,
                        Millis now) {
  const auto ended = scheduler.ended_jobs.find(id);
  if (ended == scheduler.ended_jobs.end() ||
      HasEnded(scheduler, id, ended->second, now))
    return {};
  return ended->second.runs_ended_at;
}

void ReviewEndedJobs(Scheduler& scheduler, Millis now) {
  auto& jobs = scheduler.ended_jobs;
  for (auto job = jobs.begin(); job != jobs.end();) {
    const bool has_ended = HasEnded(scheduler, job->first, job->second, now);
    job = has_ended ? jobs.erase(job) : std::next(job);
  }
}

}  // namespace dogwoodfall
