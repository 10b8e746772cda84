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

/** Time after a pause in which the requests are read that arrived during it. */
constexpr Millis kBacklogTime{100};

}  // namespace

void HandlePause(FleetNode& node, Millis now, Actions& actions) {
  const Millis previous = node.last_event_at;
  node.last_event_at = std::max(previous, now);
  const Millis pause = now - previous;
  if (previous == Millis() || pause < kMinPause)
    return;
  actions.push_back(
      LogEvent{"process_paused", {{"ms", std::to_string(pause.count)}}});
  node.last_pause = pause;
  node.last_pause_ended_at = now;
  node.scheduler.resumed_at = now;
  for (auto& [id, peer_status] : node.peers)
    peer_status.last_received_at = peer_status.last_received_at + pause;
  // When the store can't confirm the membership, peers that have taken over
  // send their view before this time.
  node.scheduler.starts_blocked_until = now + kMaxLease;
  ConfirmMembership(node.store, actions);
}

Millis GetMaxRequestAge(const FleetNode& node, Millis now) {
  const bool may_be_backlog = node.last_pause > Millis() &&
                              now - node.last_pause_ended_at < kBacklogTime;
  return may_be_backlog ? now - node.last_pause_ended_at + node.last_pause
                        : Millis();
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
