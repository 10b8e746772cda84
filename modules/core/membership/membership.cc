#include "core/membership/membership.h"

#include <algorithm>

namespace dogwoodfall {
namespace {

/** True when the list has less than half of the endpoints known before. */
bool HasShrunk(const Membership& membership, const InstanceList& list) {
  const auto listed =
      std::count_if(membership.endpoints.begin(), membership.endpoints.end(),
                    [](const auto& entry) { return entry.second.listed; });
  return static_cast<int64_t>(list.endpoints.size()) * 2 < listed;
}

/** True when removals of this list are not to be believed yet. */
bool HoldsRemovals(Membership& membership,
                   const InstanceList& list,
                   const MembershipTimeouts& times,
                   Millis now) {
  if (!HasShrunk(membership, list)) {
    membership.shrunk_since.reset();
    return false;
  }
  if (!membership.shrunk_since)
    membership.shrunk_since = now;
  if (now - *membership.shrunk_since >= times.shrink_hold) {
    membership.shrunk_since.reset();
    return false;
  }
  ++membership.held_lists;
  return true;
}

void ApplyDaemons(Membership& membership,
                  const InstanceList& list,
                  bool hold_removals) {
  std::set<DaemonId> present;
  for (const DaemonMember& member : list.daemons) {
    present.insert(member.id);
    if (member.id == membership.self.id) {
      membership.own_weight = member.weight;
      continue;
    }
    KnownDaemon& known = membership.daemons[member.id];
    known.member = member;
    known.listed = true;
  }
  if (hold_removals)
    return;
  for (auto& [id, known] : membership.daemons)
    known.listed = present.count(id) > 0;
}

void ApplyEndpoints(Membership& membership,
                    const InstanceList& list,
                    bool hold_removals) {
  std::set<EndpointId> present;
  for (const EndpointMember& member : list.endpoints) {
    present.insert(member.id);
    KnownEndpoint& known = membership.endpoints[member.id];
    // An endpoint that was absent and is back is a new one.
    if (!known.listed)
      known.leaving = false;
    known.member = member;
    known.listed = true;
    known.leaving = known.leaving || member.leaving;
  }
  if (hold_removals)
    return;
  for (auto& [id, known] : membership.endpoints)
    known.listed = present.count(id) > 0;
}

}  // namespace

void ApplyList(Membership& membership,
               const InstanceList& list,
               const MembershipTimeouts& times,
               Millis now) {
  const bool hold_removals = HoldsRemovals(membership, list, times, now);
  ApplyDaemons(membership, list, hold_removals);
  ApplyEndpoints(membership, list, hold_removals);
  membership.list_read_at = now;
}

HeartbeatEffect ApplyHeartbeat(Membership& membership,
                               const Heartbeat& heartbeat,
                               Millis now,
                               std::optional<DaemonRef>& replaced) {
  const auto found = membership.daemons.find(heartbeat.from.id);
  if (found == membership.daemons.end())
    return HeartbeatEffect::kForeign;
  KnownDaemon& known = found->second;
  if (membership.ended.count(heartbeat.from) > 0)
    return HeartbeatEffect::kEnded;
  const bool same_life =
      known.incarnation && *known.incarnation == heartbeat.from.incarnation;
  if (same_life && heartbeat.number <= known.latest.number)
    return HeartbeatEffect::kOld;
  if (known.incarnation && !same_life) {
    if (heartbeat.from.incarnation < *known.incarnation)
      return HeartbeatEffect::kOld;
    replaced = DaemonRef{heartbeat.from.id, *known.incarnation};
    membership.ended.insert(*replaced);
  }
  known.incarnation = heartbeat.from.incarnation;
  known.last_heartbeat_at = now;
  known.latest = heartbeat;
  known.sent_since = 0;
  return same_life ? HeartbeatEffect::kKnown : HeartbeatEffect::kNewLife;
}

bool MarkLeaving(Membership& membership, const EndpointId& endpoint) {
  const auto found = membership.endpoints.find(endpoint);
  if (found == membership.endpoints.end() || found->second.leaving)
    return false;
  found->second.leaving = true;
  return true;
}

bool IsReachable(const Membership& membership,
                 const DaemonRef& daemon,
                 const MembershipTimeouts& times,
                 Millis now) {
  const auto found = membership.daemons.find(daemon.id);
  return found != membership.daemons.end() && found->second.incarnation &&
         *found->second.incarnation == daemon.incarnation &&
         now - found->second.last_heartbeat_at < times.unreachable_after;
}

bool IsGone(const Membership& membership,
            const DaemonRef& daemon,
            const MembershipTimeouts& times,
            Millis now) {
  if (daemon == membership.self)
    return false;
  if (daemon.id == membership.self.id)
    return daemon.incarnation < membership.self.incarnation;
  if (membership.ended.count(daemon) > 0)
    return true;
  const auto found = membership.daemons.find(daemon.id);
  // A list that was never read, or held back, says nothing of absent daemons,
  // and a lagging one nothing of new ones: an incarnation is a time of start.
  if (found == membership.daemons.end()) {
    const Millis began{static_cast<int64_t>(daemon.incarnation.value)};
    return membership.list_read_at > Millis{} && !membership.shrunk_since &&
           began + times.max_list_lag < membership.list_read_at;
  }
  const KnownDaemon& known = found->second;
  if (known.incarnation && daemon.incarnation < *known.incarnation)
    return true;
  return !known.listed && now - known.last_heartbeat_at >= times.gone_after;
}

std::vector<DaemonRef> ReachablePeers(const Membership& membership,
                                      const MembershipTimeouts& times,
                                      Millis now) {
  std::vector<DaemonRef> peers;
  for (const auto& [id, known] : membership.daemons) {
    if (!known.incarnation)
      continue;
    const DaemonRef peer{id, *known.incarnation};
    if (IsReachable(membership, peer, times, now))
      peers.push_back(peer);
  }
  return peers;
}

}  // namespace dogwoodfall
