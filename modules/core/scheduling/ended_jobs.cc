#include "core/scheduling/ended_jobs.h"

#include <algorithm>
#include <iterator>

#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/job_lease.h"

namespace dogwoodfall {
namespace {

/** Time by which a lease may last longer on a clock that runs 2 % slow. */
constexpr Millis kClockDriftMargin{50};

/** Returns the time by which the runs of a job have ended that are managed
 * here; zero without any. The lease of their endpoints may be longer than the
 * job's.
 */
Millis GetManagedRunsEnd(const Scheduler& scheduler, const SubmissionId& id) {
  Millis end;
  for (const auto& [endpoint_id, endpoint] : scheduler.endpoints) {
    const auto run = endpoint.runs.lower_bound({{id, 0, 0}, 0});
    if (run == endpoint.runs.end() || run->first.first.job != id)
      continue;
    end = std::max({end, GetRunsEndedAt(scheduler, id),
                    endpoint.lease_until + kClockDriftMargin});
  }
  return end;
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
         (!job.has_unknown_runs &&
          GetManagedRunsEnd(scheduler, id) == Millis());
}

}  // namespace

void RecordEndedJob(Scheduler& scheduler, const ScheduledJob& job, Millis now) {
  const SubmissionId& id = job.job.id;
  const Millis reported_end = GetReportedRunsEnd(job);
  const Millis end = std::max(reported_end, GetManagedRunsEnd(scheduler, id));
  if (end <= now)
    return;
  EndedJob& ended = AddRecord(scheduler, id, end, reported_end > now);
  const bool is_first = ended.group.zone.value.empty();
  ended.received_at =
      is_first ? job.received_at : std::min(ended.received_at, job.received_at);
  ended.group = job.group;
}

void RecordWithdrawnJob(Scheduler& scheduler,
                        const SubmissionId& id,
                        Millis now) {
  const Millis end = GetManagedRunsEnd(scheduler, id);
  if (end > now)
    AddRecord(scheduler, id, end, false);
  const auto early = scheduler.early_progress.find(id);
  if (early == scheduler.early_progress.end())
    return;
  const JobProgress& progress = early->second.progress;
  const Millis wait =
      progress.active_runs.empty() ? progress.remaining_wait : kMaxLease;
  if (early->second.received_at + wait > now)
    RecordFormerRuns(scheduler, id, early->second.received_at + wait);
}

void RecordFormerRuns(Scheduler& scheduler,
                      const SubmissionId& id,
                      Millis runs_ended_at) {
  AddRecord(scheduler, id, runs_ended_at, true);
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
