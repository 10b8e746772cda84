#include "core/scheduling/endpoint_flow.h"

#include <algorithm>
#include <utility>

#include "core/scheduling/endpoint_orders.h"
#include "core/scheduling/endpoint_runs.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/run_review.h"
#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

/** How long runs found on an endpoint wait for their job to come again: word of
 * a takeover and the job need two round trips.
 */
constexpr Millis kClaimWindow{250};

/** Ends that can no longer be learned: the lease has run out unrenewed. */
void ExpireLease(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 Millis now,
                 Actions& actions) {
  // The endpoint's clock may be 2 % slow.
  constexpr Millis kClockSlack{50};
  const bool is_over = endpoint.lease_until + kClockSlack < now;
  const bool is_out = endpoint.status == EndpointStatus::kSilent ||
                      endpoint.status == EndpointStatus::kLost;
  if (is_out && is_over)
    LoseAllRuns(scheduler, endpoint, "lease_ended", now, actions);
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
                            known->second.status == EndpointStatus::kLost &&
                            known->second.fencing_token < fencing_token;
  if (known != scheduler.endpoints.end() && !is_new_token) {
    UpdateEndpoint(scheduler, entry, now, actions);
    return;
  }
  ManagedEndpoint& endpoint = scheduler.endpoints[entry.id];
  endpoint.entry = entry;
  endpoint.group = group;
  endpoint.is_listed = true;
  endpoint.fencing_token = fencing_token;
  // What the former owner started there may go on for this long.
  endpoint.lease_until = std::max(endpoint.lease_until, now + kLongestLease);
  endpoint.renewal = CommandId();
  endpoint.unanswered = 0;

  endpoint.status = EndpointStatus::kUsable;
  SetEndpointStatus(endpoint, EndpointStatus::kLooking, "taken_over", now,
                    actions);
  EnsureRenewal(scheduler, endpoint, now, actions);
}

void UpdateEndpoint(Scheduler& scheduler,
                    const EndpointEntry& entry,
                    Millis now,
                    Actions& actions) {
  const auto known = scheduler.endpoints.find(entry.id);
  if (known == scheduler.endpoints.end())
    return;
  ManagedEndpoint& endpoint = known->second;
  if (entry.started_at_ms != 0 && endpoint.started_at_ms != 0 &&
      entry.started_at_ms > endpoint.started_at_ms) {
    // What was started since its birth is told by the look.
    endpoint.unanswered = 0;
    SetEndpointStatus(endpoint, EndpointStatus::kLooking, "new_life", now,
                      actions);
  }
  endpoint.entry = entry;
  endpoint.is_listed = true;
  EnsureRenewal(scheduler, endpoint, now, actions);
}

void DeregisterEndpoint(Scheduler& scheduler,
                        const EndpointId& id,
                        Millis now,
                        Actions& actions) {
  const auto known = scheduler.endpoints.find(id);
  if (known == scheduler.endpoints.end())
    return;
  known->second.is_listed = false;
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
  const std::map<RunKey, Run> runs = std::move(known->second.runs);
  scheduler.endpoints.erase(known);
  for (const auto& [key, run] : runs) {
    if (run.requeue)
      RequeueUnseenTask(scheduler, key, now);
  }
}

bool IsLooking(const Scheduler& scheduler,
               const EndpointGroup& group,
               Millis now) {
  return std::any_of(scheduler.endpoints.begin(), scheduler.endpoints.end(),
                     [&group, now](const auto& entry) {
                       const ManagedEndpoint& endpoint = entry.second;
                       return endpoint.group == group &&
                              endpoint.status == EndpointStatus::kLooking &&
                              now - endpoint.status_since < kLongestLease;
                     });
}

void AwaitLook(Scheduler& scheduler,
               ManagedEndpoint& endpoint,
               Millis now,
               Actions& actions) {
  if (endpoint.status == EndpointStatus::kLost)
    return;
  SetEndpointStatus(endpoint, EndpointStatus::kLooking, "told_of_run", now,
                    actions);
  endpoint.status_since = now;
  endpoint.lease_until = std::max(endpoint.lease_until, now + kLongestLease);
  LookAtOnce(scheduler, endpoint, now, actions);
}

void ReviewEndpoints(Scheduler& scheduler, Millis now, Actions& actions) {
  ReviewSpeeds(scheduler, now);
  EndHopelessJobs(scheduler, now, actions);
  for (auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.status == EndpointStatus::kLooking &&
        now - endpoint.status_since >= kClaimWindow) {
      std::vector<RunKey> unclaimed;
      for (const auto& [key, run] : endpoint.runs) {
        if (run.state == RunState::kUnclaimed)
          unclaimed.push_back(key);
      }
      for (const RunKey& key : unclaimed)
        OrderStop(scheduler, endpoint, key, now, actions);
    }
    ExpireLease(scheduler, endpoint, now, actions);
    RepeatStops(scheduler, endpoint, now, actions);
    StopOverdueRuns(scheduler, endpoint, now, actions);
    EnsureRenewal(scheduler, endpoint, now, actions);
  }
  PlaceTasks(scheduler, now, actions);
}

}  // namespace dogwoodfall
