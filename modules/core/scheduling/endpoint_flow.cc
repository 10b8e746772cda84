#include "core/scheduling/endpoint_flow.h"

#include <algorithm>
#include <utility>

#include "core/scheduling/ended_jobs.h"
#include "core/scheduling/endpoint_commands.h"
#include "core/scheduling/endpoint_kinds.h"
#include "core/scheduling/endpoint_runs.h"
#include "core/scheduling/interference.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_lease.h"
#include "core/scheduling/run_relocation.h"
#include "core/scheduling/run_review.h"
#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

/** How long an unclaimed run waits for its job before it is stopped. After a
 * change of ownership, the notification and the resubmitted job take two round
 * trips.
 */
constexpr Millis kClaimTimeout{250};

/** Keeps the largest capacity that an endpoint has reported. */
void RecordCapacity(Scheduler& scheduler, const EndpointEntry& entry) {
  const auto known = scheduler.endpoint_history.find(entry.id);
  if (known == scheduler.endpoint_history.end()) {
    scheduler.endpoint_history.emplace(entry.id,
                                       EndpointHistory{entry, Millis()});
    return;
  }
  EndpointHistory& history = known->second;
  history.removed_at = Millis();
  TaskResources largest = history.largest_entry.capacity;
  largest.cpu_millicores =
      std::max(largest.cpu_millicores, entry.capacity.cpu_millicores);
  largest.memory_mb = std::max(largest.memory_mb, entry.capacity.memory_mb);
  largest.accelerators =
      std::max(largest.accelerators, entry.capacity.accelerators);
  if (history.largest_entry.started_at_ms != entry.started_at_ms)
    history.largest_entry = entry;
  history.largest_entry.capacity = largest;
}

/** Marks the runs of an endpoint as lost once their lease has expired and the
 * endpoint can no longer report their results.
 */
void HandleExpiredLease(Scheduler& scheduler,
                        ManagedEndpoint& endpoint,
                        Millis now,
                        Actions& actions) {
  // The endpoint's clock may run 2 % slow.
  constexpr Millis kClockDriftMargin{50};
  const bool has_lease_expired = endpoint.lease_until + kClockDriftMargin < now;
  if (IsOutOfContact(endpoint) && has_lease_expired)
    MarkAllRunsLost(scheduler, endpoint, "lease_ended", now, actions);
}

}  // namespace

void TakeOwnershipOfEndpoint(Scheduler& scheduler,
                             const EndpointEntry& entry,
                             const EndpointGroup& group,
                             uint64_t fencing_token,
                             Millis now,
                             Actions& actions) {
  const auto known = scheduler.endpoints.find(entry.id);
  const bool is_new_token = known != scheduler.endpoints.end() &&
                            known->second.status == EndpointStatus::kFenced &&
                            known->second.fencing_token < fencing_token;
  if (known != scheduler.endpoints.end() && !is_new_token) {
    ManagedEndpoint& owned = known->second;
    const bool was_held = std::exchange(owned.is_held_for_reported_runs, false);
    if (was_held) {
      owned.group = group;
      // Runs of other jobs were not listed.
      if (owned.status != EndpointStatus::kFenced) {
        SetEndpointStatus(owned, EndpointStatus::kReconciling, "taken_over",
                          now, actions);
        owned.status_since = now;
        owned.lease_until = std::max(owned.lease_until, now + kMaxLease);
      }
    }
    UpdateEndpoint(scheduler, entry, now, actions);
    return;
  }
  ManagedEndpoint& endpoint = scheduler.endpoints[entry.id];
  endpoint.is_held_for_reported_runs = false;
  endpoint.has_foreign_runs = false;
  endpoint.entry = entry;
  endpoint.group = group;
  endpoint.is_registered = true;
  endpoint.fencing_token = fencing_token;
  // Runs started by the previous owner may stay active for this long.
  endpoint.lease_until = std::max(endpoint.lease_until, now + kMaxLease);
  endpoint.pending_renewal = CommandId();
  endpoint.pending_clock_reading = CommandId();
  endpoint.unanswered = 0;
  // Makes SetEndpointStatus() see a change. It ignores a call with the current
  // status, and new endpoints start with kReconciling.
  endpoint.status = EndpointStatus::kUsable;
  SetEndpointStatus(endpoint, EndpointStatus::kReconciling, "taken_over", now,
                    actions);
  InitializeSpeed(scheduler, endpoint);
  EnsureRenewal(scheduler, endpoint, now, actions);
}

void UpdateEndpoint(Scheduler& scheduler,
                    const EndpointEntry& entry,
                    Millis now,
                    Actions& actions) {
  const auto known = scheduler.endpoints.find(entry.id);
  if (known != scheduler.endpoints.end())
    RecordCapacity(scheduler, known->second.entry);
  RecordCapacity(scheduler, entry);
  if (known == scheduler.endpoints.end())
    return;
  ManagedEndpoint& endpoint = known->second;
  if (entry.started_at_ms != 0 && endpoint.started_at_ms != 0 &&
      entry.started_at_ms > endpoint.started_at_ms) {
    // Reconciliation finds the runs that were started since the restart.
    endpoint.unanswered = 0;
    if (entry.started_at_ms != endpoint.entry.started_at_ms)
      ForgetIncarnation(endpoint, now);
    SetEndpointStatus(endpoint, EndpointStatus::kReconciling,
                      "endpoint_restarted", now, actions);
  }
  HandleKindChange(scheduler, endpoint, entry);
  endpoint.entry = entry;
  endpoint.is_registered = true;
  EnsureRenewal(scheduler, endpoint, now, actions);
}

void DeregisterEndpoint(Scheduler& scheduler,
                        const EndpointId& id,
                        Millis now,
                        Actions& actions) {
  const auto history = scheduler.endpoint_history.find(id);
  if (history != scheduler.endpoint_history.end())
    history->second.removed_at = now;
  const auto known = scheduler.endpoints.find(id);
  if (known == scheduler.endpoints.end())
    return;
  known->second.is_registered = false;
  actions.push_back(
      LogEvent{"endpoint_unlisted",
               {{"endpoint", id.value},
                {"runs", std::to_string(known->second.runs.size())}}});
  if (known->second.runs.empty())
    ReleaseEndpoint(scheduler, id, now);
}

void ReleaseEndpoint(Scheduler& scheduler, const EndpointId& id, Millis now) {
  const auto known = scheduler.endpoints.find(id);
  if (known == scheduler.endpoints.end())
    return;
  const ManagedEndpoint released = std::move(known->second);
  scheduler.endpoints.erase(known);
  if (MayHaveUnlistedRuns(released, now))
    ExtendReportedRuns(scheduler, released.entry.id, now);
  RecordReleasedRuns(scheduler, released);
  for (const auto& [key, run] : released.runs) {
    if (run.may_requeue)
      RequeueTaskAfterLease(scheduler, MakeIncarnationEntry(released), key,
                            now);
  }
}

bool MayHaveUnlistedRuns(const ManagedEndpoint& endpoint, Millis now) {
  return endpoint.status == EndpointStatus::kReconciling &&
         now - endpoint.status_since < kMaxLease;
}

bool HasReconcilingEndpoint(const Scheduler& scheduler,
                            const EndpointGroup& group,
                            Millis now) {
  return std::any_of(scheduler.endpoints.begin(), scheduler.endpoints.end(),
                     [&group, now](const auto& entry) {
                       const ManagedEndpoint& endpoint = entry.second;
                       return endpoint.group == group &&
                              MayHaveUnlistedRuns(endpoint, now);
                     });
}

void RestartReconciliation(Scheduler& scheduler,
                           ManagedEndpoint& endpoint,
                           Millis now,
                           Actions& actions) {
  if (endpoint.status == EndpointStatus::kFenced)
    return;
  SetEndpointStatus(endpoint, EndpointStatus::kReconciling,
                    "unknown_run_reported", now, actions);
  endpoint.status_since = now;
  endpoint.lease_until = std::max(endpoint.lease_until, now + kMaxLease);
  PollEndpoint(scheduler, endpoint, now, actions);
}

void ReviewEndpoints(Scheduler& scheduler, Millis now, Actions& actions) {
  ReviewJobLeases(scheduler, now, actions);
  UpdateEndpointKinds(scheduler, now, actions);
  UpdateSpeeds(scheduler, now);
  ReviewInterference(scheduler, now, actions);
  RelocateRuns(scheduler, now, actions);
  EndInfeasibleJobs(scheduler, now, actions);
  for (auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.status == EndpointStatus::kReconciling &&
        now - endpoint.status_since >= kClaimTimeout) {
      std::vector<RunKey> unclaimed;
      for (const auto& [key, run] : endpoint.runs) {
        if (run.state == RunState::kUnclaimed)
          unclaimed.push_back(key);
      }
      for (const RunKey& key : unclaimed)
        SendStop(scheduler, endpoint, key, now, actions);
    }
    HandleExpiredLease(scheduler, endpoint, now, actions);
    RetryFailedStops(scheduler, endpoint, now, actions);
    StopOverdueRuns(scheduler, endpoint, now, actions);
    SendAwaitingStarts(scheduler, endpoint, now, actions);
    EnsureRenewal(scheduler, endpoint, now, actions);
  }
  PlaceTasks(scheduler, now, actions);
}

}  // namespace dogwoodfall
