#include "core/fleet/evacuation_flow.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "core/fleet/announcement_flow.h"
#include "core/fleet/handover_flow.h"
#include "core/fleet/spillover_flow.h"
#include "core/fleet/zone_evacuation.h"
#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

/** Reason of the end of jobs because of an evacuation. */
constexpr const char* kZoneEvacuated = "zone_evacuated";
/** Retry-After of jobs that are refused because of an evacuation. Other zones
 * accept them at once, if there are any.
 */
constexpr Millis kEvacuationRetryAfter{1'000};
/** Time for which the groups in a peer's heartbeat count as reachable. */
constexpr Millis kGroupValidity{1'000};

/** Returns true when a zone has daemons or, as far as known here, endpoints. */
bool IsZoneKnown(const FleetNode& node, const ZoneId& zone) {
  return node.view.group_counts.count(zone) > 0 ||
         std::any_of(
             node.entries.begin(), node.entries.end(),
             [&zone](const auto& entry) { return entry.second.zone == zone; });
}

/** Logs the zones that were evacuated or taken back. */
void LogChanges(const FleetNode& node,
                const std::map<ZoneId, uint64_t>& former,
                const char* source,
                Actions& actions) {
  const EvacuationState& state = node.evacuation;
  for (const auto& [zone, revision] : state.zones) {
    if (former.count(zone) > 0)
      continue;
    actions.push_back(
        LogEvent{"zone_evacuated",
                 {{"zone", zone.value},
                  {"revision", std::to_string(revision)},
                  {"source", source},
                  {"known", IsZoneKnown(node, zone) ? "true" : "false"}}});
  }
  for (const auto& [zone, revision] : former) {
    if (state.zones.count(zone) > 0)
      continue;
    actions.push_back(LogEvent{"zone_taken_back",
                               {{"zone", zone.value},
                                {"revision", std::to_string(state.revision)},
                                {"source", source}}});
  }
}

void UpdateAfterChange(FleetNode& node,
                       const std::map<ZoneId, uint64_t>& former,
                       const char* source,
                       Millis now,
                       Actions& actions) {
  LogChanges(node, former, source, actions);
  Scheduler& scheduler = node.scheduler;
  scheduler.are_evacuations_known = true;
  scheduler.evacuated_zones.clear();
  for (const auto& [zone, revision] : node.evacuation.zones)
    scheduler.evacuated_zones.insert(zone);
  ReviewEvacuatedJobs(node, now, actions);
  PlaceTasks(scheduler, now, actions);
}

/** Returns the groups of the view's zones that are not evacuated. */
std::vector<EndpointGroup> CollectGroupsOfView(const FleetNode& node) {
  std::vector<EndpointGroup> groups;
  for (const auto& [zone, count] : node.view.group_counts) {
    if (IsEvacuated(node, zone))
      continue;
    for (uint32_t index = 0; index < count; ++index)
      groups.push_back({zone, index});
  }
  return groups;
}

/** Returns the groups with capacity of zones that are not evacuated, also of
 * zones without daemons, as far as their owners are known here.
 */
std::vector<EndpointGroup> CollectReportedGroups(const FleetNode& node,
                                                 Millis now) {
  std::set<EndpointGroup> groups;
  const auto add_groups = [&](const std::vector<GroupLoad>& loads) {
    for (const GroupLoad& load : loads) {
      if (load.task_capacity > 0 && !IsEvacuated(node, load.group.zone))
        groups.insert(load.group);
    }
  };
  add_groups(ComputeOwnGroupLoads(node, now));
  for (const auto& [id, peer_status] : node.peers) {
    if (now - peer_status.last_received_at < kGroupValidity)
      add_groups(peer_status.last_heartbeat.group_loads);
  }
  return {groups.begin(), groups.end()};
}

/** Redirects a job that has not started to a group of another zone. The record
 * of it sends repeats of the job there as well.
 *
 * @return false when all zones are evacuated
 */
bool MoveUnstartedJob(FleetNode& node,
                      const DaemonRef& receiver,
                      const SubmissionId& id,
                      Millis submission_sent_at,
                      Millis now,
                      Actions& actions) {
  const auto group = ChooseGroupOutsideEvacuation(node, id, now);
  const FleetMember* owner = group ? OwnerOfGroup(node.view, *group) : nullptr;
  if (owner == nullptr)
    return false;
  ++node.evacuation_counters.moved;
  actions.push_back(LogEvent{"job_moved_from_zone",
                             {{"job", id.value}, {"to", NameOf(*group)}}});
  RemoveJob(node.scheduler, id);
  JobRedirect redirect = MakeRedirect(node, id, *owner, *group, false);
  redirect.is_spillover = true;
  redirect.submission_sent_at = submission_sent_at;
  RecordSpillover(node, id, RefOf(*owner), *group, now);
  node.scheduler.finished.push_back(FinishedJob::Forwarded(receiver, redirect));
  return true;
}

bool IsUnstarted(const ScheduledJob& job) {
  return !job.has_started && !job.may_have_started;
}

/** Returns true when a job has tasks that wait for a start. */
bool HasWaitingTask(const ScheduledJob& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(), [](const auto& step) {
    return std::any_of(step.begin(), step.end(), [](const TaskProgress& task) {
      return task.phase == TaskPhase::kQueued ||
             task.phase == TaskPhase::kBlocked;
    });
  });
}

/** Moves a job of an evacuated zone that has not started. One that other
 * daemons know by its announcement, or that was sent by two receivers, is
 * refused instead: its next scheduler would take it for a repeat of a job that
 * still runs here.
 */
void MoveOrRefuseJob(FleetNode& node,
                     const SubmissionId& id,
                     Millis now,
                     Actions& actions) {
  const ScheduledJob& job = node.scheduler.jobs.at(id);
  const bool may_move =
      job.other_receivers.empty() && now - job.received_at < kAnnounceJobAfter;
  if (may_move && MoveUnstartedJob(node, DaemonRef(job.receiver), id,
                                   job.submission_sent_at, now, actions))
    return;
  ++node.evacuation_counters.refused;
  EndJob(node.scheduler, id,
         {JobResult::kRefused, kEvacuationRetryAfter, kZoneEvacuated}, now,
         actions);
}

}  // namespace

bool IsEvacuated(const FleetNode& node, const ZoneId& zone) {
  return node.evacuation.zones.count(zone) > 0;
}

std::optional<EndpointGroup> ChooseGroupOutsideEvacuation(
    const FleetNode& node,
    const SubmissionId& job,
    Millis now) {
  std::vector<EndpointGroup> groups = CollectGroupsOfView(node);
  if (groups.empty())
    groups = CollectReportedGroups(node, now);
  if (groups.empty())
    return std::nullopt;
  return groups[StableHash(job.value) % groups.size()];
}

void ApplyStoredEvacuations(FleetNode& node,
                            const StoreUpdate& update,
                            Millis now,
                            Actions& actions) {
  for (const StoreChange& change : update.changes) {
    const auto* request = std::get_if<EvacuationRequested>(&change);
    if (request != nullptr && !request->is_readable)
      actions.push_back(
          LogEvent{"item_unreadable", {{"zone", request->zone.value}}});
  }
  const std::map<ZoneId, uint64_t> former = node.evacuation.zones;
  if (ApplyEvacuationUpdate(node.evacuation, update))
    UpdateAfterChange(node, former, "store", now, actions);
}

void HandleEvacuationNotice(FleetNode& node,
                            const EvacuationNotice& notice,
                            Millis now,
                            Actions& actions) {
  const std::map<ZoneId, uint64_t> former = node.evacuation.zones;
  if (ApplyEvacuationNotice(node.evacuation, notice,
                            node.store.routes.followed_to))
    UpdateAfterChange(node, former, "peer", now, actions);
}

bool RedirectFromEvacuatedZone(FleetNode& node,
                               const DaemonRef& receiver,
                               const JobSubmission& submission,
                               Millis now,
                               Actions& actions) {
  if (submission.may_have_started || !IsEvacuated(node, submission.group.zone))
    return false;
  const SubmissionId& id = submission.job.id;
  if (MoveUnstartedJob(node, receiver, id, submission.sent_at_sender, now,
                       actions))
    return true;
  ++node.evacuation_counters.refused;
  actions.push_back(
      LogEvent{"job_refused", {{"job", id.value}, {"reason", kZoneEvacuated}}});
  node.scheduler.finished.push_back(FinishedJob::Ended(
      receiver, id,
      {JobResult::kRefused, kEvacuationRetryAfter, kZoneEvacuated}));
  return true;
}

void ReviewEvacuatedJobs(FleetNode& node, Millis now, Actions& actions) {
  if (node.evacuation.zones.empty())
    return;
  std::vector<SubmissionId> unstarted;
  std::vector<SubmissionId> stuck;
  for (const auto& [id, job] : node.scheduler.jobs) {
    if (!IsEvacuated(node, job.group.zone))
      continue;
    if (IsUnstarted(job))
      unstarted.push_back(id);
    else if (HasWaitingTask(job) &&
             !MayHaveUnknownRuns(node.scheduler, job, now))
      stuck.push_back(id);
  }
  for (const SubmissionId& id : unstarted)
    MoveOrRefuseJob(node, id, now, actions);
  for (const SubmissionId& id : stuck) {
    ++node.evacuation_counters.abandoned;
    EndJob(node.scheduler, id, {JobResult::kAbandoned, {}, kZoneEvacuated}, now,
           actions);
  }
}

}  // namespace dogwoodfall
