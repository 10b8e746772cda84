#include "core/fleet/room_flow.h"

#include <optional>
#include <set>

#include "base/hash.h"
#include "core/fleet/handover_flow.h"
#include "core/scheduling/spill.h"

namespace dogwoodfall {
namespace {

/** Time for which a peer's word on its room holds: two heartbeats may be lost.
 */
constexpr Millis kRoomHolds{350};

/** The room of other daemons' groups as they told it last. */
std::vector<GroupLoad*> PeerLoads(FleetNode& node, Millis now) {
  std::vector<GroupLoad*> loads;
  for (auto& [id, peer_status] : node.peers) {
    if (now - peer_status.last_received_at >= kRoomHolds ||
        peer_status.last.draining)
      continue;
    for (GroupLoad& load : peer_status.last.group_loads) {
      if (IsOwnerOf(node.view, peer_status.last.from, load.group))
        loads.push_back(&load);
    }
  }
  return loads;
}

/** Tasks that can start at once: those of steps that wait for no other. */
uint32_t FirstTasks(const TransientJob& job) {
  uint32_t tasks = 0;
  for (const JobStep& step : job.steps)
    tasks += step.after.empty() ? step.task_count : 0;
  return tasks;
}

}  // namespace

std::vector<GroupLoad> OwnLoads(const FleetNode& node, Millis now) {
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

bool PassToRoom(FleetNode& node,
                const DaemonRef& receiver,
                const JobSubmission& submission,
                Millis now,
                Actions& actions) {
  if (!submission.may_forward || submission.may_have_started)
    return false;
  const GroupLoad own = ComputeGroupLoad(node.scheduler, submission.group, now);
  const uint32_t tasks = FirstTasks(submission.job);
  if (HasFreeCapacityFor(own, tasks))
    return false;
  const std::vector<GroupLoad*> told = PeerLoads(node, now);
  std::vector<GroupLoad> others;
  others.reserve(told.size());
  for (const GroupLoad* load : told)
    others.push_back(*load);
  const std::optional<EndpointGroup> chosen = ChooseSpilloverGroup(
      own, others, tasks, StableHash(submission.job.id.value));
  if (!chosen)
    return false;
  // Until the next heartbeat it is counted as waiting there.
  for (GroupLoad* load : told) {
    if (load->group == *chosen)
      load->tasks_waiting += tasks;
  }
  const FleetMember* owner = OwnerOfGroup(node.view, *chosen);
  JobRedirect redirect =
      MakeRedirect(node, submission.job.id, *owner, *chosen, false);
  redirect.is_spillover = true;
  actions.push_back(LogEvent{"job_passed_to_room",
                             {{"job", submission.job.id.value},
                              {"tasks", std::to_string(tasks)},
                              {"group", NameOf(own.group)},
                              {"free", std::to_string(own.free_task_capacity)},
                              {"waiting", std::to_string(own.tasks_waiting)},
                              {"to", NameOf(*chosen)}}});
  NotePassedJob(node, submission, RefOf(*owner), now);
  node.scheduler.finished.push_back(FinishedJob::Forwarded(receiver, redirect));
  return true;
}

}  // namespace dogwoodfall
