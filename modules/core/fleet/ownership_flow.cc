#include "core/fleet/ownership_flow.h"

#include <algorithm>
#include <set>
#include <utility>

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
  if (!AdoptRoutes(node.routes, routes))
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
         std::holds_alternative<MemberGone>(change);
}

/** @return true when the view of the daemons has changed */
bool ApplyChange(FleetNode& node,
                 const StoreChange& change,
                 Millis now,
                 Actions& actions) {
  if (const auto* endpoint = std::get_if<EndpointChanged>(&change)) {
    ApplyEndpoint(node, endpoint->entry, now, actions);
  } else if (const auto* gone = std::get_if<EndpointGone>(&change)) {
    node.entries.erase(gone->id);
    UnlistEndpoint(node.scheduler, gone->id, now, actions);
  } else if (const auto* routes = std::get_if<RoutesChanged>(&change)) {
    ApplyRoutes(node, routes->routes, actions);
  } else if (const auto* member = std::get_if<MemberChanged>(&change)) {
    if (!ApplyMember(node.view, member->member))
      return false;
    LogMember(node, "member_listed", member->member.address.id, actions);
    return true;
  } else if (const auto* left = std::get_if<MemberGone>(&change)) {
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
    UnlistEndpoint(node.scheduler, id, now, actions);
  }
}

/** Removes daemons that a reading of their items does not show any more.
 * @return true when there were some
 */
bool DropMissingMembers(FleetNode& node,
                        const StoreNews& news,
                        Actions& actions) {
  std::set<DaemonId> listed;
  for (const StoreChange& change : news.changes) {
    if (const auto* member = std::get_if<MemberChanged>(&change))
      listed.insert(member->member.address.id);
  }
  std::vector<DaemonId> left;
  for (const auto& [id, member] : node.view.members) {
    if (listed.count(id) == 0)
      left.push_back(id);
  }
  for (const DaemonId& id : left) {
    RemoveMemberAt(node.view, id, news.revision);
    LogMember(node, "member_gone", id, actions);
  }
  return !left.empty();
}

/** Starts sessions with daemons that are new or live anew. */
void MeetMembers(FleetNode& node, Millis now, Actions& actions) {
  UpdatePeers peers;
  for (const auto& [id, member] : node.view.members) {
    if (id == node.self.id)
      continue;
    peers.members.push_back(member.address);
    if (HasSession(node.sessions, RefOf(member)))
      continue;
    StartSession(node.sessions, RefOf(member));
    node.peers[id] = PeerSight{now, {}, false};
  }
  actions.push_back(std::move(peers));
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

/** Gives away all jobs after this daemon stopped being a scheduler. */
void GiveJobsAway(FleetNode& node, Millis now, Actions& actions) {
  std::vector<SubmissionId> ids;
  for (const auto& [id, job] : node.scheduler.jobs)
    ids.push_back(id);
  for (const SubmissionId& id : ids) {
    const ScheduledJob job = std::move(node.scheduler.jobs.at(id));
    node.scheduler.queue.erase(job.order_key);
    node.scheduler.jobs.erase(id);
    const FleetMember* next = SchedulerForJob(node.view, node.zone, id);
    if (next == nullptr)
      continue;
    actions.push_back(
        LogEvent{"job_given_away",
                 {{"job", id.value},
                  {"to", next->address.id.value},
                  {"started", job.has_started ? "true" : "false"},
                  {"age_ms", std::to_string((now - job.received).count)}}});
    node.scheduler.finished.push_back(
        {job.receiver, id, {}, next->address.id, job.has_started});
  }
}

/** Takes over and gives away endpoints as the view says. */
void ReviewOwnership(FleetNode& node, Millis now, Actions& actions) {
  const bool was_scheduler = !node.scheduler.endpoints.empty();
  std::vector<EndpointId> given;
  for (const auto& [id, endpoint] : node.scheduler.endpoints) {
    const FleetMember* owner =
        OwnerOfEndpoint(node.view, endpoint.entry.zone, id);
    if (owner != nullptr && RefOf(*owner) != node.self)
      given.push_back(id);
  }
  if (was_scheduler && !given.empty() &&
      given.size() == node.scheduler.endpoints.size())
    GiveJobsAway(node, now, actions);
  for (const EndpointId& id : given)
    ReleaseEndpoint(node.scheduler, id, now);
  for (const auto& [id, entry] : node.entries) {
    const FleetMember* owner = OwnerOfEndpoint(node.view, entry.zone, id);
    if (owner != nullptr && RefOf(*owner) == node.self)
      TakeEndpoint(node.scheduler, entry, node.view.revision, now, actions);
  }
}

void TakeEarlyJobs(FleetNode& node, Millis now, Actions& actions) {
  const std::vector<EarlyJob> early = std::exchange(node.early_jobs, {});
  for (const EarlyJob& job : early) {
    JobSubmission submission = job.submission;
    submission.job.age = submission.job.age + (now - job.came);
    submission.job.time_left = submission.job.time_left - (now - job.came);
    if (submission.job.time_left > Millis())
      ScheduleHere(node, now, job.receiver, submission, actions);
  }
}

}  // namespace

bool IsScheduler(const FleetNode& node) {
  return !node.scheduler.endpoints.empty();
}

void ApplyStoreNews(FleetNode& node,
                    const StoreNews& news,
                    Millis now,
                    Actions& actions) {
  bool view_changed = false;
  if (news.is_snapshot && news.scope == ItemScope::kDaemons)
    view_changed = DropMissingMembers(node, news, actions);
  else if (news.is_snapshot)
    DropMissingEndpoints(node, news, now, actions);
  for (const StoreChange& change : news.changes) {
    if (IsAboutDaemon(change) == (news.scope == ItemScope::kDaemons))
      view_changed |= ApplyChange(node, change, now, actions);
  }
  if (view_changed) {
    MeetMembers(node, now, actions);
    KeepOwnItem(node, now, actions);
  }
  if (news.changes.empty() && !view_changed)
    return;
  ReviewOwnership(node, now, actions);
  TakeEarlyJobs(node, now, actions);
  AssignJobs(node, now, actions);
  PlaceTasks(node.scheduler, now, actions);
  ReportFinished(node, now, actions);
}

}  // namespace dogwoodfall
