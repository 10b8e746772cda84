#include "core/fleet/ownership_flow.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/fleet/assignment_flow.h"
#include "core/fleet/handover_flow.h"
#include "core/fleet/reception_flow.h"
#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

void ApplyEndpoint(FleetNode& node,
                   const EndpointEntry& entry,
                   Millis now,
                   Actions& actions) {
  const auto known = node.entries.find(entry.id);
  if (known != node.entries.end() && known->second.draining != entry.draining) {
    actions.push_back(
        LogEvent{"endpoint_draining",
                 {{"endpoint", entry.id.value},
                  {"draining", entry.draining ? "true" : "false"}}});
  }
  node.entries[entry.id] = entry;
  UpdateEndpoint(node.scheduler, entry, now, actions);
}

void ApplyRoutes(FleetNode& node, const RouteTable& routes, Actions& actions) {
  const uint64_t before = node.routes.version;
  if (!ReplaceRoutesIfNewer(node.routes, routes))
    return;
  actions.push_back(
      LogEvent{"routes_in_force",
               {{"version", std::to_string(node.routes.version)},
                {"former", std::to_string(before)},
                {"routes", std::to_string(node.routes.routes.size())}}});
}

void LogMember(const FleetNode& node,
               const char* name,
               const DaemonId& id,
               Actions& actions) {
  actions.push_back(
      LogEvent{name,
               {{"daemon", id.value},
                {"view", std::to_string(node.view.revision)},
                {"members", std::to_string(node.view.members.size())}}});
}

bool IsAboutDaemon(const StoreChange& change) {
  return std::holds_alternative<MemberChanged>(change) ||
         std::holds_alternative<MemberRemoved>(change);
}

/** @return true when the view of the daemons has changed */
bool ApplyChange(FleetNode& node,
                 const StoreChange& change,
                 Millis now,
                 Actions& actions) {
  if (const auto* endpoint = std::get_if<EndpointChanged>(&change)) {
    ApplyEndpoint(node, endpoint->entry, now, actions);
  } else if (const auto* gone = std::get_if<EndpointRemoved>(&change)) {
    node.entries.erase(gone->id);
    DeregisterEndpoint(node.scheduler, gone->id, now, actions);
  } else if (const auto* routes = std::get_if<RoutesChanged>(&change)) {
    ApplyRoutes(node, routes->routes, actions);
  } else if (const auto* member = std::get_if<MemberChanged>(&change)) {
    if (!ApplyMember(node.view, member->member))
      return false;
    LogMember(node, "member_listed", member->member.address.id, actions);
    return true;
  } else if (const auto* left = std::get_if<MemberRemoved>(&change)) {
    const auto known = node.view.members.find(left->id);
    if (known != node.view.members.end())
      node.unregistered_daemons[left->id] = known->second;
    if (!RemoveMemberAt(node.view, left->id, left->revision))
      return false;
    LogMember(node, "member_gone", left->id, actions);
    return true;
  } else if (const auto* bad = std::get_if<UnreadableItem>(&change)) {
    actions.push_back(LogEvent{"item_unreadable", {{"key", bad->key}}});
  }
  return false;
}

/** Removes endpoints that a reading of all items does not show any more. */
void DropMissingEndpoints(FleetNode& node,
                          const StoreNews& news,
                          Millis now,
                          Actions& actions) {
  std::set<EndpointId> listed;
  for (const StoreChange& change : news.changes) {
    if (const auto* endpoint = std::get_if<EndpointChanged>(&change))
      listed.insert(endpoint->entry.id);
  }
  std::vector<EndpointId> gone;
  for (const auto& [id, entry] : node.entries) {
    if (listed.count(id) == 0)
      gone.push_back(id);
  }
  for (const EndpointId& id : gone) {
    node.entries.erase(id);
    DeregisterEndpoint(node.scheduler, id, now, actions);
  }
}

/** Takes over a reading of all daemons' items.
 * @return true when the view has changed
 */
bool ApplyMembers(FleetNode& node,
                  const std::vector<FleetMember>& members,
                  uint64_t revision,
                  const char* source,
                  Actions& actions) {
  const std::map<DaemonId, FleetMember> before = node.view.members;
  if (!ReplaceMembers(node.view, members, revision))
    return false;
  for (const auto& [id, member] : before) {
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

std::vector<FleetMember> MembersIn(const StoreNews& news) {
  std::vector<FleetMember> members;
  for (const StoreChange& change : news.changes) {
    if (const auto* member = std::get_if<MemberChanged>(&change))
      members.push_back(member->member);
  }
  return members;
}

/** Starts sessions with daemons that are new or live anew. */
void MeetMembers(FleetNode& node, Millis now, Actions& actions) {
  for (const auto& [id, member] : node.view.members) {
    node.unregistered_daemons.erase(id);
    if (id == node.self.id || HasSession(node.sessions, RefOf(member)))
      continue;
    StartSession(node.sessions, RefOf(member));
    PeerStatus peer_status;
    peer_status.former_heard = node.peers[id].last_received_at;
    peer_status.last_received_at = now;
    node.peers[id] = peer_status;
  }
  TellNetwork(node, actions);
}

/** Has the own item written again when it is gone from the store. */
void KeepOwnItem(FleetNode& node, Millis now, Actions& actions) {
  if (!node.store.is_registered || node.store.is_leaving_store)
    return;
  const auto own = node.view.members.find(node.self.id);
  if (own != node.view.members.end() && RefOf(own->second) == node.self)
    return;
  actions.push_back(LogEvent{"own_item_lost",
                             {{"view", std::to_string(node.view.revision)}}});
  RegisterAgain(node.store, now);
}

/** Gives a job with what is known of it to the new owner of its endpoints. */
void GiveJobAway(FleetNode& node,
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

/** Gives away the jobs whose endpoints have another owner now. */
void GiveJobsAway(FleetNode& node, Millis now, Actions& actions) {
  std::vector<std::pair<SubmissionId, const FleetMember*>> given;
  for (const auto& [id, job] : node.scheduler.jobs) {
    if (const FleetMember* next = OtherOwnerOf(node, job.group))
      given.emplace_back(id, next);
  }
  for (const auto& [id, next] : given)
    GiveJobAway(node, id, *next, now, actions);
}

/** Takes over and gives away endpoints as the view says. */
void ReviewOwnership(FleetNode& node, Millis now, Actions& actions) {
  GiveJobsAway(node, now, actions);
  std::vector<EndpointId> given;
  for (const auto& [id, endpoint] : node.scheduler.endpoints) {
    if (OtherOwnerOf(node, endpoint.group) != nullptr)
      given.push_back(id);
  }
  for (const EndpointId& id : given)
    ReleaseEndpoint(node.scheduler, id, now);
  for (const auto& [id, entry] : node.entries) {
    const EndpointGroup group = GroupOfEndpoint(node.view, entry.zone, id);
    if (IsOwnerOf(node.view, node.self, group))
      TakeOwnershipOfEndpoint(node.scheduler, entry, group, node.view.revision,
                              now, actions);
  }
}

void TakeEarlyJobs(FleetNode& node, Millis now, Actions& actions) {
  const std::vector<EarlyJob> early = std::exchange(node.early_jobs, {});
  for (const EarlyJob& job : early) {
    JobSubmission submission = job.submission;
    submission.job.age = submission.job.age + (now - job.received_at);
    submission.job.time_left =
        submission.job.time_left - (now - job.received_at);
    if (submission.job.time_left > Millis())
      ScheduleHere(node, now, job.receiver, submission, actions);
  }
}

/** Draws all conclusions from what has changed. */
void FollowChanges(FleetNode& node,
                   bool view_changed,
                   Millis now,
                   Actions& actions) {
  if (view_changed) {
    MeetMembers(node, now, actions);
    KeepOwnItem(node, now, actions);
  }
  ReviewOwnership(node, now, actions);
  ReportFinished(node, now, actions);
  TakeEarlyJobs(node, now, actions);
  AssignJobs(node, now, actions);
  PlaceTasks(node.scheduler, now, actions);
  ReportFinished(node, now, actions);
}

}  // namespace

const FleetMember* OtherOwnerOf(const FleetNode& node,
                                const EndpointGroup& group) {
  const FleetMember* owner = OwnerOfGroup(node.view, group);
  return owner != nullptr && RefOf(*owner) != node.self ? owner : nullptr;
}

bool IsScheduler(const FleetNode& node) {
  return !node.scheduler.endpoints.empty();
}

void TellNetwork(const FleetNode& node, Actions& actions) {
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

void ApplyStoreNews(FleetNode& node,
                    const StoreNews& news,
                    Millis now,
                    Actions& actions) {
  bool view_changed = false;
  if (news.is_snapshot && news.scope == ItemScope::kDaemons) {
    view_changed =
        ApplyMembers(node, MembersIn(news), news.revision, "store", actions);
  } else {
    if (news.is_snapshot)
      DropMissingEndpoints(node, news, now, actions);
    for (const StoreChange& change : news.changes) {
      if (IsAboutDaemon(change) == (news.scope == ItemScope::kDaemons))
        view_changed |= ApplyChange(node, change, now, actions);
    }
  }
  if (view_changed || !news.changes.empty())
    FollowChanges(node, view_changed, now, actions);
}

void ApplyViewNotice(FleetNode& node,
                     const ViewNotice& notice,
                     Millis now,
                     Actions& actions) {
  if (ApplyMembers(node, notice.members, notice.revision, "peer", actions))
    FollowChanges(node, true, now, actions);
}

void ApplyRoutesNotice(FleetNode& node,
                       const RoutesNotice& notice,
                       Actions& actions) {
  ApplyRoutes(node, notice.routes, actions);
}

}  // namespace dogwoodfall
