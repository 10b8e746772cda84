#include "core/fleet/pause_flow.h"

#include <algorithm>
#include <string>

#include "core/fleet/reception_flow.h"
#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

/** Time between two events from which the process counts as paused. Timer
 * events occur every 20 ms; peers take over the endpoints of a daemon that is
 * silent for 500 ms.
 */
constexpr Millis kMinPause{300};

/** Minimum and maximum time after a pause in which the requests are read that
 * arrived during it. In between, the backlog ends with the first period between
 * two ticks in which none is read.
 */
constexpr Millis kMinBacklogTime{100};
constexpr Millis kMaxBacklogTime{1'000};

}  // namespace

void HandlePause(FleetNode& node, Millis now, Actions& actions) {
  const Millis previous = node.last_event_at;
  node.last_event_at = std::max(previous, now);
  const Millis pause = now - previous;
  if (previous == Millis() || pause < kMinPause)
    return;
  actions.push_back(
      LogEvent{"process_paused", {{"ms", std::to_string(pause.count)}}});
  if (!node.has_backlog)
    node.backlog_began_at = previous;
  node.has_backlog = true;
  node.last_pause_ended_at = now;
  node.scheduler.resumed_at = now;
  for (auto& [id, peer_status] : node.peers)
    peer_status.last_received_at = peer_status.last_received_at + pause;
  if (node.outside_heard_at != Millis())
    node.outside_heard_at = node.outside_heard_at + pause;
  // When the store can't confirm the membership, peers that have taken over
  // send their view before this time.
  node.scheduler.starts_blocked_until = now + kMaxLease;
  ConfirmMembership(node.store, actions);
}

Millis GetMaxRequestAge(const FleetNode& node, Millis now) {
  return node.has_backlog ? now - node.backlog_began_at : Millis();
}

void UpdateBacklog(FleetNode& node, Millis now) {
  const Millis elapsed = now - node.last_pause_ended_at;
  const bool is_read = elapsed >= kMinBacklogTime && !node.has_received_job;
  if (is_read || elapsed >= kMaxBacklogTime)
    node.has_backlog = false;
  node.has_received_job = false;
}

void HandleMembershipConfirmation(FleetNode& node,
                                  Millis now,
                                  Actions& actions) {
  if (node.scheduler.starts_blocked_until <= now)
    return;
  node.scheduler.starts_blocked_until = Millis();
  PlaceTasks(node.scheduler, now, actions);
  ReportFinishedJobs(node, now, actions);
}

}  // namespace dogwoodfall
