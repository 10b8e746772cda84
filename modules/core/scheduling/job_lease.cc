#include "core/scheduling/job_lease.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <vector>

#include "core/scheduling/ended_jobs.h"
#include "core/scheduling/endpoint_commands.h"
#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

/** Remaining lease that a start needs, so that its run is not stopped at once
 * when the next confirmation is late.
 */
constexpr Millis kMinLeaseForStart{150};
static_assert(kUnconfirmedJobLease < kMinLeaseForStart);
/** Time after the end of its lease for which a job waits for a confirmation.
 * Its receiver may only have been paused.
 */
constexpr Millis kOrphanedJobRetention{500};
/** Time after a pause of this process, or after the acceptance of an old job,
 * in which jobs are acknowledged.
 */
constexpr Millis kAnnouncementTime{200};
/** Time after its end for which a lease is known, so that runs of a job that
 * was handed over are stopped.
 */
constexpr Millis kEndedLeaseRetention{2'000};

void StopRunsWithoutLease(Scheduler& scheduler, Millis now, Actions& actions) {
  std::map<SubmissionId, size_t> stopped;
  for (auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.status == EndpointStatus::kFenced)
      continue;
    for (auto& [key, run] : endpoint.runs) {
      const SubmissionId& job = key.first.job;
      if (!run.is_claimed || run.state == RunState::kStopping ||
          GetJobLeaseEnd(scheduler, job) > now)
        continue;
      SendStop(scheduler, endpoint, key, now, actions);
      ++stopped[job];
    }
  }
  scheduler.counters.ended_job_leases += stopped.size();
  for (const auto& [job, runs] : stopped) {
    const Millis ended_for = now - GetJobLeaseEnd(scheduler, job);
    actions.push_back(
        LogEvent{"job_lease_ended",
                 {{"job", job.value},
                  {"ended_ms_ago", std::to_string(ended_for.count)},
                  {"runs", std::to_string(runs)}}});
  }
}

JobLeaseEnds GetLeaseEnds(const Scheduler& scheduler, const SubmissionId& job) {
  const auto found = scheduler.job_lease_ends.find(job);
  return found == scheduler.job_lease_ends.end() ? JobLeaseEnds()
                                                 : found->second;
}

void EndOrphanedJobs(Scheduler& scheduler, Millis now, Actions& actions) {
  std::vector<SubmissionId> orphaned;
  for (const auto& [id, job] : scheduler.jobs) {
    if (IsOrphaned(scheduler, GetLeaseEnds(scheduler, id).confirmed_until, now))
      orphaned.push_back(id);
  }
  for (const SubmissionId& id : orphaned)
    EndJob(scheduler, id, {JobResult::kAbandoned, {}, "receiver_gone"}, now,
           actions);
}

/** Ends the jobs whose repeats may be started elsewhere. Progress that a
 * previous scheduler is to send is waited for, as it extends the lease. After a
 * pause of this process the jobs are announced first, and so is a job that was
 * old when it was accepted.
 */
void EndUnannouncedJobs(Scheduler& scheduler, Millis now, Actions& actions) {
  if (now < scheduler.resumed_at + kAnnouncementTime)
    return;
  std::vector<SubmissionId> unannounced;
  for (const auto& [id, job] : scheduler.jobs) {
    if (GetLeaseEnds(scheduler, id).announced_until <= now &&
        job.start_blocked_until <= now &&
        job.accepted_at + kAnnouncementTime <= now)
      unannounced.push_back(id);
  }
  scheduler.counters.unannounced_jobs += unannounced.size();
  for (const SubmissionId& id : unannounced) {
    const ScheduledJob& job = scheduler.jobs.at(id);
    const bool may_have_run = job.has_started || job.may_have_started;
    EndJob(scheduler, id,
           {may_have_run ? JobResult::kAbandoned : JobResult::kRefused,
            {},
            "not_announced"},
           now, actions);
  }
}

}  // namespace

void GrantJobLease(Scheduler& scheduler,
                   const SubmissionId& job,
                   Millis confirmed_at) {
  Millis& end = scheduler.job_lease_ends[job].confirmed_until;
  end = std::max(end, confirmed_at + kJobLease);
}

void GrantAnnouncementLease(Scheduler& scheduler,
                            const SubmissionId& job,
                            Millis received_at) {
  Millis& end = scheduler.job_lease_ends[job].announced_until;
  end = std::max(end, received_at + kUnannouncedJobLease);
}

void RenewAnnouncementLease(Scheduler& scheduler,
                            const SubmissionId& job,
                            Millis announced_until) {
  const auto found = scheduler.job_lease_ends.find(job);
  if (found == scheduler.job_lease_ends.end())
    return;
  Millis& end = found->second.announced_until;
  end = std::max(end, announced_until);
}

void RenewJobLease(Scheduler& scheduler,
                   const SubmissionId& job,
                   Millis confirmed_at) {
  const bool has_ended =
      scheduler.ended_jobs.count(job) > 0 && scheduler.jobs.count(job) == 0;
  if (!has_ended && scheduler.job_lease_ends.count(job) > 0)
    GrantJobLease(scheduler, job, confirmed_at);
}

Millis GetJobLeaseEnd(const Scheduler& scheduler, const SubmissionId& job) {
  const JobLeaseEnds ends = GetLeaseEnds(scheduler, job);
  return std::min(ends.confirmed_until, ends.announced_until);
}

Millis GetRunsEndedAt(const Scheduler& scheduler, const SubmissionId& job) {
  const Millis lease_end = GetJobLeaseEnd(scheduler, job);
  return lease_end == Millis() ? Millis() : lease_end + kRunsEndedAfterLease;
}

bool MayStartTasks(const Scheduler& scheduler,
                   const SubmissionId& job,
                   Millis now) {
  return now + kMinLeaseForStart <= GetJobLeaseEnd(scheduler, job);
}

Millis ComputeRunLeaseEnd(const Scheduler& scheduler,
                          const ManagedEndpoint& endpoint,
                          Millis now) {
  if (endpoint.has_foreign_runs)
    return {};
  Millis end = now + kRunLease;
  for (const auto& [key, run] : endpoint.runs) {
    if (!run.is_claimed)
      return {};
    end =
        std::min(end, GetJobLeaseEnd(scheduler, key.first.job) + kRunEndMargin);
  }
  return end;
}

bool HasLeaseForStart(const Scheduler& scheduler,
                      const ManagedEndpoint& endpoint,
                      const SubmissionId& job,
                      Millis now) {
  return now + kMinLeaseForStart + kRunEndMargin <=
             ComputeRunLeaseEnd(scheduler, endpoint, now) &&
         endpoint.excess_lease_until <= now + kRunLease &&
         endpoint.lease_until <=
             GetLeaseEnds(scheduler, job).announced_until + kRunEndMargin;
}

bool IsOrphaned(const Scheduler& scheduler,
                Millis confirmed_until,
                Millis now) {
  return std::max(confirmed_until, scheduler.resumed_at) +
             kOrphanedJobRetention <=
         now;
}

void ReviewJobLeases(Scheduler& scheduler, Millis now, Actions& actions) {
  StopRunsWithoutLease(scheduler, now, actions);
  EndOrphanedJobs(scheduler, now, actions);
  EndUnannouncedJobs(scheduler, now, actions);
  ReviewEndedJobs(scheduler, now);
  auto& leases = scheduler.job_lease_ends;
  for (auto lease = leases.begin(); lease != leases.end();) {
    const bool is_needed =
        lease->second.confirmed_until + kEndedLeaseRetention > now ||
        scheduler.jobs.count(lease->first) > 0;
    lease = is_needed ? std::next(lease) : leases.erase(lease);
  }
}

}  // namespace dogwoodfall
