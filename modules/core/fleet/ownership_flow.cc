#include "core/fleet/ownership_flow.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/fleet/assignment_flow.h"
#include "core/fleet/evacuation_flow.h"
#include "core/fleet/handover_flow.h"
#include "core/fleet/heartbeat_flow.h"
#include "core/fleet/reception_flow.h"
#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

/** Returns true when a change of an endpoint's entry precedes the known entry.
 * Changes are read twice when they were made while a list was read.
 */
bool IsOlderThanKnown(const FleetNode& node,
                      const EndpointId& id,
                      uint64_t revision) {
  const auto known = node.entries.find(id);
  return known != node.entries.end() && revision != 0 &&
         revision < known->second.revision;
}

void ApplyEndpoint(FleetNode& node,
                   const EndpointEntry& entry,
                   Millis now,
                   Actions& actions) {
  const auto known = node.entries.find(entry.id);
  if (IsOlderThanKnown(node, entry.id, entry.revision)) {
    actions.push_back(
        LogEvent{"endpoint_entry_older",
                 {{"endpoint", entry.id.value},
                  {"revision", std::to_string(entry.revision)},
                  {"known_revision", std::to_string(known->second.revision)}}});
    return;
  }
  if (known != node.entries.end() && known->second.draining != entry.draining) {
    actions.push_back(
        LogEvent{"endpoint_draining",
                 {{"endpoint", entry.id.value},
                  {"draining", entry.draining ? "true" : "false"}}});
  }
  if (known != node.entries.end() &&
      !(known->second.capacity == entry.capacity)) {
    actions.push_back(
        LogEvent{"endpoint_capacity",
                 {{"endpoint", entry.id.value},
                  {"millicores", std::to_string(entry.capacity.cpu_millicores)},
                  {"memory_mb", std::to_string(entry.capacity.memory_mb)},
                  {"former_millicores",
                   std::to_string(known->second.capacity.cpu_millicores)},
                  {"former_memory_mb",
                   std::to_string(known->second.capacity.memory_mb)}}});
  }
  node.entries[entry.id] = entry;
  UpdateEndpoint(node.scheduler, entry, now, actions);
}

void ApplyRoutes(FleetNode& node, const RouteTable& routes, Actions& actions) {
  const uint64_t previous_version = node.routes.version;
  if (!ReplaceRoutesIfNewer(node.routes, routes))
    return;
  actions.push_back(
      LogEvent{"routes_in_force",
               {{"version", std::to_string(node.routes.version)},
                {"former", std::to_string(previous_version)},
                {"routes", std::to_string(node.routes.routes.size())}}});
}

void LogMemberChange(const FleetNode& node,
                     const char* name,
                     const DaemonId& id,
                     Actions& actions) {
  actions.push_back(
      LogEvent{name,
               {{"daemon", id.value},
                {"view", std::to_string(node.view.revision)},
                {"members", std::to_string(node.view.members.size())}}});
}

/** @return true when the view of the daemons has changed */
bool ApplyChange(FleetNode& node,
                 const StoreChange& change,
                 Millis now,
                 Actions& actions) {
  if (const auto* endpoint = std::get_if<EndpointChanged>(&change)) {
    ApplyEndpoint(node, endpoint->entry, now, actions);
  } else if (const auto* removed_endpoint =
                 std::get_if<EndpointRemoved>(&change)) {
    if (IsOlderThanKnown(node, removed_endpoint->id,
                         removed_endpoint->revision))
      return false;
    node.entries.erase(removed_endpoint->id);
    DeregisterEndpoint(node.scheduler, removed_endpoint->id, now, actions);
  } else if (const auto* routes = std::get_if<RoutesChanged>(&change)) {
    ApplyRoutes(node, routes->routes, actions);
  } else if (const auto* member = std::get_if<MemberChanged>(&change)) {
    if (!ApplyMember(node.view, member->member))
      return false;
    LogMemberChange(node, "member_listed", member->member.address.id, actions);
    return true;
  } else if (const auto* removed_member = std::get_if<MemberRemoved>(&change)) {
    const auto known = node.view.members.find(removed_member->id);
    if (known != node.view.members.end())
      node.unregistered_daemons[removed_member->id] = known->second;
    if (!RemoveMemberAt(node.view, removed_member->id,
                        removed_member->revision))
      return false;
    LogMemberChange(node, "member_gone", removed_member->id, actions);
    return true;
  } else if (const auto* unreadable = std::get_if<UnreadableItem>(&change)) {
    actions.push_back(LogEvent{"item_unreadable", {{"key", unreadable->key}}});
  }
  return false;
}

/** Removes the endpoints that a snapshot of all items no longer contains. */
void RemoveMissingEndpoints(FleetNode& node,
                            const StoreUpdate& update,
                            Millis now,
                            Actions& actions) {
  std::set<EndpointId> listed;
  for (const StoreChange& change : update.changes) {
    if (const auto* endpoint = std::get_if<EndpointChanged>(&change))
      listed.insert(endpoint->entry.id);
  }
  std::vector<EndpointId> missing;
  for (const auto& [id, entry] : node.entries) {
    if (listed.count(id) == 0)
      missing.push_back(id);
  }
  for (const EndpointId& id : missing) {
    node.entries.erase(id);
    DeregisterEndpoint(node.scheduler, id, now, actions);
  }
}

/** Applies a snapshot of all daemons' items.
 * @return true when the view has changed
 */
bool ApplyMembers(FleetNode& node,
                  const std::vector<FleetMember>& members,
                  uint64_t revision,
                  const char* source,
                  Actions& actions) {
  const std::map<DaemonId, FleetMember> previous_members = node.view.members;
  if (!ReplaceMembers(node.view, members, revision))
    return false;
  for (const auto& [id, member] : previous_members) {
    if (node.view.members.count(id) == 0)
      node.unregistered_daemons[id] = member;
  }
  actions.push_back(
      LogEvent{"members_read",
               {{"source", source},
                {"view", std::to_string(node.view.revision)},
                {"members", std::to_string(node.view.members.size())}}});
  return true;
}

std::vector<FleetMember> CollectMembers(const StoreUpdate& update) {
  std::vector<FleetMember> members;
  for (const StoreChange& change : update.changes) {
    if (const auto* member = std::get_if<MemberChanged>(&change))
      members.push_back(member->member);
  }
  return members;
}

/** Starts sessions with daemons that are new or have restarted. */
void StartMissingSessions(FleetNode& node, Millis now, Actions& actions) {
  for (const auto& [id, member] : node.view.members) {
    node.unregistered_daemons.erase(id);
    if (id == node.self.id || HasSession(node.sessions, RefOf(member)))
      continue;
    StartSession(node.sessions, RefOf(member));
    if (member.address.zone == node.zone || IsSmallFleet(node.view))
      SendAllLosses(node, RefOf(member), now, actions);
    PeerStatus peer_status;
    const auto previous = node.peers.find(id);
    const bool was_expected = previous != node.peers.end() &&
                              previous->second.heartbeat_period > Millis();
    peer_status.previous_incarnation_received_at =
        was_expected ? previous->second.last_received_at : now;
    if (previous != node.peers.end())
      peer_status.previous_incarnation_heartbeat =
          previous->second.last_heartbeat;
    peer_status.last_received_at = now;
    node.peers[id] = peer_status;
  }
  SendPeerList(node, actions);
}

/** Requests that the own item is written again when the store has lost it. */
void RestoreOwnItem(FleetNode& node, Millis now, Actions& actions) {
  if (!node.store.is_registered || node.store.is_deregistering)
    return;
  const auto own = node.view.members.find(node.self.id);
  if (own != node.view.members.end() && RefOf(own->second) == node.self)
    return;
  actions.push_back(LogEvent{"own_item_lost",
                             {{"view", std::to_string(node.view.revision)}}});
  node.store.item_revision =
      own == node.view.members.end() ? 0 : own->second.revision;
  RequestRegistration(node.store, now);
}

/** Hands a job and its progress over to the new owner of its endpoints. */
void HandOverJob(FleetNode& node,
                 const SubmissionId& id,
                 const FleetMember& next,
                 Millis now,
                 Actions& actions) {
  const ScheduledJob job = node.scheduler.jobs.at(id);
  ReleaseJob(node, {id, RefOf(next), node.view.revision}, now, actions);
  JobRedirect redirect = MakeRedirect(node, id, next, job.group,
                                      job.has_started || job.may_have_started);
  redirect.is_progress_sent = true;
  std::vector<FinishedJob>& finished = node.scheduler.finished;
  for (const DaemonRef& receiver : job.other_receivers)
    finished.push_back(FinishedJob::Forwarded(receiver, redirect));
  finished.push_back(FinishedJob::Forwarded(job.receiver, redirect));
}

/** Hands over the jobs whose endpoints now have another owner. */
void HandOverJobs(FleetNode& node, Millis now, Actions& actions) {
  std::vector<std::pair<SubmissionId, const FleetMember*>> to_hand_over;
  for (const auto& [id, job] : node.scheduler.jobs) {
    if (const FleetMember* next_owner = OtherOwnerOf(node, job.group))
      to_hand_over.emplace_back(id, next_owner);
  }
  for (const auto& [id, next_owner] : to_hand_over)
    HandOverJob(node, id, *next_owner, now, actions);
}

/** Takes and releases ownership of endpoints according to the view. */
void UpdateOwnership(FleetNode& node, Millis now, Actions& actions) {
  for (auto& [id, job] : node.scheduler.jobs) {
    const EndpointGroup group = CurrentGroupOfJob(node.view, job.group, id);
    job.has_changed_group |= !(job.group == group);
    job.group = group;
  }
  HandOverJobs(node, now, actions);
  std::vector<EndpointId> to_release;
  for (auto& [id, endpoint] : node.scheduler.endpoints) {
    if (endpoint.is_held_for_reported_runs)
      continue;
    if (node.entries.count(id) > 0)
      endpoint.group = GroupOfEndpoint(node.view, endpoint.entry.zone, id);
    if (OtherOwnerOf(node, endpoint.group) != nullptr)
      to_release.push_back(id);
  }
  for (const EndpointId& id : to_release)
    ReleaseEndpoint(node.scheduler, id, now);
  for (const auto& [id, entry] : node.entries) {
    const EndpointGroup group = GroupOfEndpoint(node.view, entry.zone, id);
    if (IsOwnerOf(node.view, node.self, group))
      TakeOwnershipOfEndpoint(node.scheduler, entry, group, node.view.revision,
                              now, actions);
  }
}

/** Starts to follow the endpoints' items before this daemon may own some, and
 * stops after it can't own any. While there are no members, as when the store
 * has lost all items, nothing changes.
 */
void UpdateEndpointsNeeded(FleetNode& node, Millis now, Actions& actions) {
  if (node.view.members.empty())
    return;
  const bool is_needed = IsOwnerCandidate(node.view, node.self.id);
  if (is_needed == node.store.needs_endpoints)
    return;
  SetEndpointsNeeded(node.store, is_needed);
  if (!is_needed) {
    node.entries.clear();
    node.scheduler.endpoint_history.clear();
    node.scheduler.are_endpoints_known = false;
  }
  AdvanceStoreSession(node.store, now, actions);
}

/** Updates sessions, ownership and assignments after the view or the endpoints
 * have changed.
 */
void UpdateAfterChanges(FleetNode& node,
                        bool has_view_changed,
                        Millis now,
                        Actions& actions) {
  if (has_view_changed) {
    StartMissingSessions(node, now, actions);
    UpdateExpectedHeartbeats(node, now);
    UpdateEndpointsNeeded(node, now, actions);
    RestoreOwnItem(node, now, actions);
  }
  UpdateOwnership(node, now, actions);
  ReportFinishedJobs(node, now, actions);
  ScheduleEarlyJobs(node, now, actions);
  AssignJobs(node, now, actions);
  PlaceTasks(node.scheduler, now, actions);
  ReportFinishedJobs(node, now, actions);
}

}  // namespace

const FleetMember* OtherOwnerOf(const FleetNode& node,
                                const EndpointGroup& group) {
  const FleetMember* owner = OwnerOfGroup(node.view, group);
  return owner != nullptr && RefOf(*owner) != node.self ? owner : nullptr;
}

void SendPeerList(const FleetNode& node, Actions& actions) {
  UpdatePeers peers;
  for (const auto& [id, member] : node.view.members) {
    if (id != node.self.id)
      peers.members.push_back(member.address);
  }
  for (const auto& [id, member] : node.unregistered_daemons) {
    if (id != node.self.id)
      peers.members.push_back(member.address);
  }
  actions.push_back(std::move(peers));
}

void ApplyStoreUpdate(FleetNode& node,
                      const StoreUpdate& update,
                      Millis now,
                      Actions& actions) {
  bool has_view_changed = false;
  if (update.is_snapshot && update.scope == ItemScope::kDaemons) {
    has_view_changed = ApplyMembers(node, CollectMembers(update),
                                    update.revision, "store", actions);
  } else {
    if (update.is_snapshot && update.scope == ItemScope::kEndpoints) {
      RemoveMissingEndpoints(node, update, now, actions);
      node.scheduler.are_endpoints_known = true;
    }
    for (const StoreChange& change : update.changes) {
      has_view_changed |= ApplyChange(node, change, now, actions);
    }
  }
  ApplyStoredEvacuations(node, update, now, actions);
  if (has_view_changed || update.is_snapshot || !update.changes.empty())
    UpdateAfterChanges(node, has_view_changed, now, actions);
}

void ApplyViewNotice(FleetNode& node,
                     const ViewNotice& notice,
                     Millis now,
                     Actions& actions) {
  if (ApplyMembers(node, notice.members, notice.revision, "peer", actions))
    UpdateAfterChanges(node, true, now, actions);
}

void ApplyRoutesNotice(FleetNode& node,
                       const RoutesNotice& notice,
                       Actions& actions) {
  ApplyRoutes(node, notice.routes, actions);
}

}  // namespace dogwoodfall
