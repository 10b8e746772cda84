#include "core/membership/membership.h"

#include <algorithm>

namespace dogwoodfall {
namespace {

/** Returns true if the list has less than half of the endpoints listed before.
 */
bool HasShrunk(const Membership& membership, const InstanceList& list) {
  const auto listed_count =
      std::count_if(membership.endpoints.begin(), membership.endpoints.end(),
                    [](const auto& entry) { return entry.second.listed; });
  return static_cast<int64_t>(list.endpoints.size()) * 2 < listed_count;
}

/** Returns true if removals by this list are deferred because the list has
 * shrunk. Records when that began and counts the deferred lists.
 */
bool ShouldDeferRemovals(Membership& membership,
                         const InstanceList& list,
                         const MembershipTimeouts& timeouts,
                         Millis now) {
  if (!HasShrunk(membership, list)) {
    membership.shrunk_since.reset();
    return false;
  }
  if (!membership.shrunk_since)
    membership.shrunk_since = now;
  if (now - *membership.shrunk_since >= timeouts.shrink_hold) {
    membership.shrunk_since.reset();
    return false;
  }
  ++membership.deferred_lists;
  return true;
}

void ApplyDaemons(Membership& membership,
                  const InstanceList& list,
                  bool defer_removals) {
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
  if (defer_removals)
    return;
  for (auto& [id, known] : membership.daemons)
    known.listed = present.count(id) > 0;
}

void ApplyEndpoints(Membership& membership,
                    const InstanceList& list,
                    bool defer_removals) {
  std::set<EndpointId> present;
  for (const EndpointMember& member : list.endpoints) {
    present.insert(member.id);
    KnownEndpoint& known = membership.endpoints[member.id];
    // An endpoint that was missing from the list and is back counts as new, so
    // an earlier report that it is leaving no longer applies.
    if (!known.listed)
      known.leaving = false;
    known.member = member;
    known.listed = true;
    known.leaving = known.leaving || member.leaving;
  }
  if (defer_removals)
    return;
  for (auto& [id, known] : membership.endpoints)
    known.listed = present.count(id) > 0;
}

}  // namespace

void ApplyInstanceList(Membership& membership,
                       const InstanceList& list,
                       const MembershipTimeouts& timeouts,
                       Millis now) {
  const bool defer_removals =
      ShouldDeferRemovals(membership, list, timeouts, now);
  ApplyDaemons(membership, list, defer_removals);
  ApplyEndpoints(membership, list, defer_removals);
  membership.list_read_at = now;
}

HeartbeatEffect ApplyHeartbeat(Membership& membership,
                               const Heartbeat& heartbeat,
                               Millis now,
                               std::optional<DaemonRef>& replaced) {
  const auto found = membership.daemons.find(heartbeat.from.id);
  if (found == membership.daemons.end())
    return HeartbeatEffect::kNonMember;
  KnownDaemon& known = found->second;
  if (membership.ended.count(heartbeat.from) > 0)
    return HeartbeatEffect::kEnded;
  const bool is_same_incarnation =
      known.incarnation && *known.incarnation == heartbeat.from.incarnation;
  if (is_same_incarnation && heartbeat.number <= known.last_heartbeat.number)
    return HeartbeatEffect::kStale;
  if (known.incarnation && !is_same_incarnation) {
    if (heartbeat.from.incarnation < *known.incarnation)
      return HeartbeatEffect::kStale;
    replaced = DaemonRef{heartbeat.from.id, *known.incarnation};
    membership.ended.insert(*replaced);
  }
  known.incarnation = heartbeat.from.incarnation;
  known.last_heartbeat_at = now;
  known.last_heartbeat = heartbeat;
  known.tasks_sent_since_heartbeat = 0;
  return is_same_incarnation ? HeartbeatEffect::kSameIncarnation
                             : HeartbeatEffect::kNewIncarnation;
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
                 const MembershipTimeouts& timeouts,
                 Millis now) {
  const auto found = membership.daemons.find(daemon.id);
  return found != membership.daemons.end() && found->second.incarnation &&
         *found->second.incarnation == daemon.incarnation &&
         now - found->second.last_heartbeat_at < timeouts.unreachable_after;
}

bool IsGone(const Membership& membership,
            const DaemonRef& daemon,
            const MembershipTimeouts& timeouts,
            Millis now) {
  if (daemon == membership.self)
    return false;
  if (daemon.id == membership.self.id)
    return daemon.incarnation < membership.self.incarnation;
  if (membership.ended.count(daemon) > 0)
    return true;
  const auto found = membership.daemons.find(daemon.id);
  // An unread list, or one whose removals are deferred, shows nothing about
  // missing daemons, and a lagging list nothing about new ones. A daemon that
  // was never listed is therefore gone only if it started more than
  // max_list_lag before the last read. The value of an incarnation is its start
  // time.
  if (found == membership.daemons.end()) {
    const Millis started_at{static_cast<int64_t>(daemon.incarnation.value)};
    return membership.list_read_at > Millis{} && !membership.shrunk_since &&
           started_at + timeouts.max_list_lag < membership.list_read_at;
  }
  const KnownDaemon& known = found->second;
  if (known.incarnation && daemon.incarnation < *known.incarnation)
    return true;
  return !known.listed && now - known.last_heartbeat_at >= timeouts.gone_after;
}

std::vector<DaemonRef> ReachablePeers(const Membership& membership,
                                      const MembershipTimeouts& timeouts,
                                      Millis now) {
  std::vector<DaemonRef> peers;
  for (const auto& [id, known] : membership.daemons) {
    if (!known.incarnation)
      continue;
    const DaemonRef peer{id, *known.incarnation};
    if (IsReachable(membership, peer, timeouts, now))
      peers.push_back(peer);
  }
  return peers;
}

}  // namespace dogwoodfall
