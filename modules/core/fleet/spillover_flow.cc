#include "core/fleet/spillover_flow.h"

#include <optional>
#include <set>

#include "base/hash.h"
#include "core/fleet/assignment_flow.h"
#include "core/fleet/evacuation_flow.h"
#include "core/fleet/handover_flow.h"
#include "core/scheduling/spillover.h"

namespace dogwoodfall {
namespace {

/** Time for which the load in a peer's heartbeat is used; one heartbeat from
 * another zone, or three from the own zone, may be lost.
 */
constexpr Millis kLoadValidity{450};

/** Returns the load of other daemons' groups from their last heartbeats. A
 * heartbeat may have been sent before its sender knew of an evacuation, so
 * groups of evacuated zones are left out.
 */
std::vector<GroupLoad*> CollectPeerLoads(FleetNode& node, Millis now) {
  std::vector<GroupLoad*> loads;
  for (auto& [id, peer_status] : node.peers) {
    if (now - peer_status.last_received_at >= kLoadValidity ||
        peer_status.last_heartbeat.draining)
      continue;
    for (GroupLoad& load : peer_status.last_heartbeat.group_loads) {
      if (IsOwnerOf(node.view, peer_status.last_heartbeat.from, load.group) &&
          !IsEvacuated(node, load.group.zone))
        loads.push_back(&load);
    }
  }
  return loads;
}

/** Counts the tasks that can start at once: those of steps without
 * predecessors.
 */
uint32_t CountInitialTasks(const TransientJob& job) {
  uint32_t tasks = 0;
  for (const JobStep& step : job.steps)
    tasks += step.after.empty() ? step.task_count : 0;
  return tasks;
}

}  // namespace

std::vector<GroupLoad> ComputeOwnGroupLoads(const FleetNode& node, Millis now) {
  std::set<EndpointGroup> groups;
  for (const auto& [id, endpoint] : node.scheduler.endpoints)
    groups.insert(endpoint.group);
  std::vector<GroupLoad> loads;
  for (const EndpointGroup& group : groups) {
    if (IsOwnerOf(node.view, node.self, group))
      loads.push_back(ComputeGroupLoad(node.scheduler, group, now));
  }
  return loads;
}

bool RedirectToRunningGroup(FleetNode& node,
                            const DaemonRef& receiver,
                            const JobSubmission& submission,
                            Millis now) {
  const std::optional<RunningJob> running =
      FindRunningJob(node, submission.job.id, now);
  std::optional<EndpointGroup> group;
  // A job announced in this group was handed over to this daemon, which may
  // have forwarded it since.
  if (running && !(running->group == submission.group))
    group = running->group;
  const auto record = node.forwarded_jobs.find(submission.job.id);
  if (!group && submission.may_forward && record != node.forwarded_jobs.end() &&
      !record->second.spillover_group.zone.value.empty())
    group = record->second.spillover_group;
  if (!group || *group == submission.group)
    return false;
  const FleetMember* owner = OwnerOfGroup(node.view, *group);
  if (owner == nullptr || RefOf(*owner) == node.self)
    return false;
  JobRedirect redirect =
      MakeRedirect(node, submission.job.id, *owner, *group,
                   submission.may_have_started || running.has_value());
  redirect.is_spillover = true;
  redirect.submission_sent_at = submission.sent_at_sender;
  node.scheduler.finished.push_back(FinishedJob::Forwarded(receiver, redirect));
  return true;
}

bool ForwardToLessLoadedGroup(FleetNode& node,
                              const DaemonRef& receiver,
                              const JobSubmission& submission,
                              Millis now,
                              Actions& actions) {
  if (!submission.may_forward || submission.may_have_started)
    return false;
  const GroupLoad own = ComputeGroupLoad(node.scheduler, submission.group, now);
  const uint32_t tasks = CountInitialTasks(submission.job);
  if (HasFreeCapacityFor(own, tasks))
    return false;
  const std::vector<GroupLoad*> peer_loads = CollectPeerLoads(node, now);
  std::vector<GroupLoad> others;
  others.reserve(peer_loads.size());
  for (const GroupLoad* load : peer_loads)
    others.push_back(*load);
  const std::optional<EndpointGroup> chosen = ChooseSpilloverGroup(
      own, others, tasks, StableHash(submission.job.id.value));
  if (!chosen)
    return false;
  // Counts the tasks as waiting there until the next heartbeat of that owner.
  for (GroupLoad* load : peer_loads) {
    if (load->group == *chosen)
      load->tasks_waiting += tasks;
  }
  const FleetMember* owner = OwnerOfGroup(node.view, *chosen);
  JobRedirect redirect =
      MakeRedirect(node, submission.job.id, *owner, *chosen, false);
  redirect.is_spillover = true;
  redirect.submission_sent_at = submission.sent_at_sender;
  actions.push_back(LogEvent{"job_passed_to_room",
                             {{"job", submission.job.id.value},
                              {"tasks", std::to_string(tasks)},
                              {"group", NameOf(own.group)},
                              {"free", std::to_string(own.free_task_capacity)},
                              {"waiting", std::to_string(own.tasks_waiting)},
                              {"to", NameOf(*chosen)}}});
  RecordSpillover(node, submission.job.id, RefOf(*owner), *chosen, now);
  node.scheduler.finished.push_back(FinishedJob::Forwarded(receiver, redirect));
  return true;
}

}  // namespace dogwoodfall
