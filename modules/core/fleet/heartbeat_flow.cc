#include "core/fleet/heartbeat_flow.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "core/fleet/announcement_flow.h"
#include "core/fleet/spillover_flow.h"

namespace dogwoodfall {
namespace {

Heartbeat MakeHeartbeat(const FleetNode& node, Millis now) {
  Heartbeat heartbeat;
  heartbeat.from = node.self;
  heartbeat.zone = node.zone;
  heartbeat.sent_at = now;
  heartbeat.number = node.heartbeat_number;
  heartbeat.revision = node.routes.version;
  heartbeat.store_revision = node.view.revision;
  heartbeat.evacuation_revision = node.evacuation.revision;
  heartbeat.draining = node.is_stopping;
  heartbeat.jobs_in_progress = ListAnnouncedJobs(node, now);
  heartbeat.group_loads = ComputeOwnGroupLoads(node, now);
  return heartbeat;
}

/** Returns the period of heartbeats to a peer. A daemon without connection to
 * the store may have lost its item, so that other zones only know it by its
 * heartbeats; it sends them to all owners.
 */
Millis GetOwnPeriod(const FleetNode& node, const FleetMember& peer) {
  const Millis period = GetHeartbeatPeriod(node.view, node.store.self, peer);
  const bool is_isolated =
      !node.store.is_reachable && IsOwner(node.view, peer.address.id);
  return period == Millis() && is_isolated ? kSlowHeartbeatPeriod : period;
}

}  // namespace

Millis GetPeerTimeout(Millis heartbeat_period) {
  // No longer than the lease of runs for the fast period, so that the next
  // owner can still claim the peer's runs.
  constexpr int64_t kPeriodsPerTimeout = 5;
  return {kPeriodsPerTimeout * heartbeat_period.count};
}

Millis GetHeartbeatPeriod(const FleetView& view,
                          const FleetMember& from,
                          const FleetMember& to) {
  if (IsSmallFleet(view))
    return kHeartbeatPeriod;
  if (from.address.zone == to.address.zone) {
    const bool is_from_candidate = IsOwnerCandidate(view, from.address.id);
    const bool is_to_candidate = IsOwnerCandidate(view, to.address.id);
    if (is_from_candidate && is_to_candidate)
      return kHeartbeatPeriod;
    return is_from_candidate || is_to_candidate ? kSlowHeartbeatPeriod
                                                : Millis();
  }
  // A standby has to know the jobs of other zones once it is an owner.
  const bool is_from_owner_to_candidate =
      IsOwner(view, from.address.id) && IsOwnerCandidate(view, to.address.id);
  return is_from_owner_to_candidate ? kSlowHeartbeatPeriod : Millis();
}

void SendHeartbeats(FleetNode& node, Millis now, Actions& actions) {
  if (now < node.next_heartbeat_at)
    return;
  node.next_heartbeat_at = now + kHeartbeatPeriod;
  ++node.heartbeat_round;
  std::vector<DaemonId> to;
  for (const auto* members : {&node.view.members, &node.unregistered_daemons}) {
    for (const auto& [id, member] : *members) {
      const Millis period = GetOwnPeriod(node, member);
      if (id == node.self.id || period == Millis())
        continue;
      const auto periods_per_beat =
          static_cast<uint64_t>(period.count / kHeartbeatPeriod.count);
      if (node.heartbeat_round % periods_per_beat == 0)
        to.push_back(id);
    }
  }
  if (!to.empty())
    SendHeartbeatTo(node, to, now, actions);
}

void SendHeartbeatTo(FleetNode& node,
                     const std::vector<DaemonId>& to,
                     Millis now,
                     Actions& actions) {
  ++node.heartbeat_number;
  if (node.first_heartbeat_at == Millis())
    node.first_heartbeat_at = now;
  for (const DaemonId& id : to) {
    const auto peer_status = node.peers.find(id);
    if (peer_status != node.peers.end())
      peer_status->second.heartbeat_sent_at = now;
  }
  actions.push_back(SendHeartbeat{to, MakeHeartbeat(node, now)});
}

void UpdateExpectedHeartbeats(FleetNode& node, Millis now) {
  node.hears_other_zones = false;
  for (auto& [id, peer_status] : node.peers) {
    const auto member = node.view.members.find(id);
    if (member == node.view.members.end())
      continue;
    const Millis period =
        GetHeartbeatPeriod(node.view, member->second, node.store.self);
    node.hears_other_zones |=
        period > Millis() && member->second.address.zone != node.zone;
    const bool was_expected = peer_status.heartbeat_period > Millis();
    if (period > Millis() && !was_expected)
      peer_status.last_received_at = now;
    peer_status.heartbeat_period = period;
  }
}

void RecordHeartbeatAge(PeerStatus& peer_status,
                        const Heartbeat& heartbeat,
                        Millis now) {
  peer_status.heartbeat_age =
      ComputeMaxAge(peer_status.clock, heartbeat.sent_at, now);
  peer_status.heartbeat_read_at = now;
}

Millis EstimateReadingDelay(const FleetNode& node, Millis now) {
  // Timers and round trips add less than this while nothing is slow.
  constexpr Millis kMinReadingDelay{20};
  constexpr Millis kMaxReadingAge{300};
  std::optional<Millis> least;
  for (const auto& [id, peer_status] : node.peers) {
    if (!peer_status.heartbeat_age ||
        now - peer_status.heartbeat_read_at >= kMaxReadingAge)
      continue;
    least = std::min(least.value_or(*peer_status.heartbeat_age),
                     *peer_status.heartbeat_age);
  }
  return least && *least >= kMinReadingDelay ? *least : Millis();
}

Millis GetLastKnownAlive(const FleetNode& node,
                         const DaemonRef& daemon,
                         Millis now) {
  const auto found = node.peers.find(daemon.id);
  if (found == node.peers.end())
    return now;
  if (!HasSession(node.sessions, daemon))
    return found->second.previous_incarnation_received_at;
  return found->second.heartbeat_period > Millis()
             ? found->second.last_received_at
             : now;
}

}  // namespace dogwoodfall
