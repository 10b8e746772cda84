#include "core/scheduling/job_lease.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <vector>

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

void EndOrphanedJobs(Scheduler& scheduler, Millis now, Actions& actions) {
  std::vector<SubmissionId> orphaned;
  for (const auto& [id, job] : scheduler.jobs) {
    if (IsOrphaned(scheduler, GetJobLeaseEnd(scheduler, id), now))
      orphaned.push_back(id);
  }
  for (const SubmissionId& id : orphaned)
    EndJob(scheduler, id, {JobResult::kAbandoned, {}, "receiver_gone"}, now,
           actions);
}

}  // namespace

void GrantJobLease(Scheduler& scheduler,
                   const SubmissionId& job,
                   Millis confirmed_at) {
  Millis& end = scheduler.job_lease_ends[job];
  end = std::max(end, confirmed_at + kJobLease);
}

void RenewJobLease(Scheduler& scheduler,
                   const SubmissionId& job,
                   Millis confirmed_at) {
  if (scheduler.job_lease_ends.count(job) > 0)
    GrantJobLease(scheduler, job, confirmed_at);
}

Millis GetJobLeaseEnd(const Scheduler& scheduler, const SubmissionId& job) {
  const auto found = scheduler.job_lease_ends.find(job);
  return found == scheduler.job_lease_ends.end() ? Millis() : found->second;
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
                      Millis now) {
  return now + kMinLeaseForStart + kRunEndMargin <=
         ComputeRunLeaseEnd(scheduler, endpoint, now);
}

bool IsOrphaned(const Scheduler& scheduler, Millis lease_end, Millis now) {
  return std::max(lease_end, scheduler.resumed_at) + kOrphanedJobRetention <=
         now;
}

void ReviewJobLeases(Scheduler& scheduler, Millis now, Actions& actions) {
  StopRunsWithoutLease(scheduler, now, actions);
  EndOrphanedJobs(scheduler, now, actions);
  auto& leases = scheduler.job_lease_ends;
  for (auto lease = leases.begin(); lease != leases.end();) {
    const bool is_needed = lease->second + kEndedLeaseRetention > now ||
                           scheduler.jobs.count(lease->first) > 0;
    lease = is_needed ? std::next(lease) : leases.erase(lease);
  }
}

}  // namespace dogwoodfall
