#include "core/fleet/spillover_flow.h"

#include <algorithm>
#include <map>
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

/** Returns the room of other daemons' groups from their last heartbeats, for
 * the given loads; empty when one of them has not been sent.
 */
std::vector<GroupRoom*> CollectPeerRooms(FleetNode& node,
                                         const std::vector<GroupLoad*>& loads) {
  std::map<EndpointGroup, GroupRoom*> known;
  for (auto& [id, peer_status] : node.peers) {
    for (GroupRoom& room : peer_status.last_heartbeat.group_rooms) {
      if (IsOwnerOf(node.view, peer_status.last_heartbeat.from, room.group))
        known[room.group] = &room;
    }
  }
  std::vector<GroupRoom*> rooms;
  for (const GroupLoad* load : loads) {
    const auto room = known.find(load->group);
    if (room == known.end())
      return {};
    rooms.push_back(room->second);
  }
  return rooms;
}

/** Returns the CPU need of the largest task that can start at once. */
int64_t GetInitialTaskSize(const TransientJob& job) {
  int64_t millicores = 0;
  for (const JobStep& step : job.steps) {
    if (step.after.empty())
      millicores = std::max(millicores, step.resources.cpu_millicores);
  }
  return millicores;
}

template <typename Load>
std::vector<Load> CopyAll(const std::vector<Load*>& loads) {
  std::vector<Load> copies;
  copies.reserve(loads.size());
  for (const Load* load : loads)
    copies.push_back(*load);
  return copies;
}

/** Chooses another group by the size of the job's tasks, and counts them as
 * sent there.
 */
std::optional<EndpointGroup> ChooseGroupBySize(
    const GroupLoad& own,
    const std::vector<GroupLoad*>& loads,
    const std::vector<GroupRoom*>& rooms,
    const TransientJob& job) {
  const uint32_t tasks = CountInitialTasks(job);
  const int64_t size = GetInitialTaskSize(job);
  std::optional<EndpointGroup> chosen = ChooseGroupWithRoom(
      CopyAll(rooms), tasks, size, StableHash(job.id.value));
  if (!chosen)
    chosen = ChooseLessLoadedGroup(own, CopyAll(loads));
  for (GroupRoom* room : rooms) {
    if (chosen && room->group == *chosen)
      CountSentTasks(*room, tasks, size);
  }
  return chosen;
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

std::vector<GroupRoom> ComputeOwnGroupRooms(
    const FleetNode& node,
    const std::vector<GroupLoad>& own_loads,
    Millis now) {
  std::vector<GroupRoom> rooms;
  if (!node.scheduler.options.packing)
    return rooms;
  for (const GroupLoad& load : own_loads)
    rooms.push_back(ComputeGroupRoom(node.scheduler, load.group, now));
  return rooms;
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
  const bool has_room =
      node.scheduler.options.packing
          ? HasRoomForJob(node.scheduler, submission.group, submission.job, now)
          : HasFreeCapacityFor(own, tasks);
  if (has_room)
    return false;
  const std::vector<GroupLoad*> peer_loads = CollectPeerLoads(node, now);
  const std::vector<GroupRoom*> peer_rooms =
      node.scheduler.options.packing ? CollectPeerRooms(node, peer_loads)
                                     : std::vector<GroupRoom*>();
  const std::optional<EndpointGroup> chosen =
      peer_rooms.empty()
          ? ChooseSpilloverGroup(own, CopyAll(peer_loads), tasks,
                                 StableHash(submission.job.id.value))
          : ChooseGroupBySize(own, peer_loads, peer_rooms, submission.job);
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
  actions.push_back(
      LogEvent{"job_passed_to_room",
               {{"job", submission.job.id.value},
                {"tasks", std::to_string(tasks)},
                {"group", NameOf(own.group)},
                {"free", std::to_string(own.free_task_capacity)},
                {"waiting", std::to_string(own.tasks_waiting)},
                {"by_size", peer_rooms.empty() ? "false" : "true"},
                {"to", NameOf(*chosen)}}});
  RecordSpillover(node, submission.job.id, RefOf(*owner), *chosen, now);
  node.scheduler.finished.push_back(FinishedJob::Forwarded(receiver, redirect));
  return true;
}

}  // namespace dogwoodfall
