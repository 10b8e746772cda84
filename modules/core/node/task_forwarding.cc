#include "core/node/task_forwarding.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/membership/membership.h"
#include "model/task_assignment.h"

namespace dogwoodfall {
namespace {

/** Bytes of payloads in one message; a task more may be added to them. */
constexpr size_t kMostBatchBytes = 2'000'000;

/** True when a zone has an endpoint that could run the task. */
bool ZoneFits(const Node& node,
              const ZoneId& zone,
              const PlanLimits& limits,
              const TaskSpec& task) {
  return std::any_of(
      node.membership.endpoints.begin(), node.membership.endpoints.end(),
      [&](const auto& entry) {
        const KnownEndpoint& known = entry.second;
        return known.member.zone == zone && known.listed && !known.leaving &&
               task.declared_memory_mb <= known.member.memory_mb &&
               MayUse(limits, entry.first);
      });
}

/** A peer with free slots, and how many tasks it may be sent. */
struct Room {
  DaemonRef peer;
  ZoneId zone;
  uint32_t slots = 0;
};

/** Peers with room, those of this zone first, most room first. */
std::vector<Room> FindRoom(const Node& node, Millis now) {
  std::vector<Room> rooms;
  for (const DaemonRef& peer :
       ReachablePeers(node.membership, node.settings.membership, now)) {
    const KnownDaemon& known = node.membership.daemons.at(peer.id);
    const uint32_t taken = known.latest.queued_tasks + known.sent_since;
    if (known.latest.draining || known.latest.revision == 0 ||
        known.latest.free_slots <= taken || !HasSession(node.sessions, peer))
      continue;
    rooms.push_back({peer, known.member.zone, known.latest.free_slots - taken});
  }
  std::sort(rooms.begin(), rooms.end(), [&node](const Room& a, const Room& b) {
    const bool a_near = a.zone == node.settings.zone;
    const bool b_near = b.zone == node.settings.zone;
    if (a_near != b_near)
      return a_near;
    return a.slots != b.slots ? a.slots > b.slots : a.peer < b.peer;
  });
  return rooms;
}

/** Chooses tasks of own submissions that a peer is to start. */
std::vector<TaskKey> ChooseForPeer(const Node& node, const Room& resources) {
  std::vector<TaskKey> chosen;
  size_t payload_bytes = 0;
  for (const CustomerId& id : ServingOrder(node.dispatch.queue)) {
    const PlanLimits* limits = FindLimits(node.configuration, id);
    if (limits == nullptr)
      continue;
    for (const auto& [rank, task] :
         node.dispatch.queue.customers.at(id).tasks) {
      if (chosen.size() >= resources.slots || payload_bytes >= kMostBatchBytes)
        return chosen;
      if (task.home == node.settings.self &&
          ZoneFits(node, resources.zone, *limits, task.task)) {
        chosen.push_back(KeyOf(task));
        payload_bytes += task.task.payload.size();
      }
    }
  }
  return chosen;
}

TaskAssignment AssignmentFor(const QueuedTask& task, Millis now) {
  TaskAssignment assignment;
  assignment.submission = task.submission;
  assignment.customer = task.customer;
  assignment.task = task.task;
  assignment.first_attempt = task.next_attempt;
  assignment.time_left = task.deadline - now;
  assignment.remaining_work = task.remaining_work;
  return assignment;
}

/** Sends tasks to a peer in one message and notes that it holds them. */
void SendBatch(Node& node,
               Millis now,
               const Room& resources,
               const std::vector<TaskKey>& keys,
               Actions& actions) {
  TaskBatch batch;
  std::vector<QueuedTask> taken;
  for (const TaskKey& key : keys) {
    taken.push_back(*Remove(node.dispatch.queue, key));
    batch.tasks.push_back(AssignmentFor(taken.back(), now));
  }
  if (!Send(node.sessions, resources.peer, std::move(batch),
            node.settings.sessions, now, actions)) {
    for (QueuedTask& task : taken)
      Push(node.dispatch.queue, std::move(task));
    return;
  }
  for (const QueuedTask& task : taken) {
    SubmissionRecord* record =
        FindRecord(node.ledger, KeyOf(task.customer, task.submission));
    TaskRecord& entry = record->tasks[record->task_index.at(task.task.id)];
    entry.holder = resources.peer;
    entry.first_attempt = task.next_attempt;
    record->waste.Add(task.waste);
  }
  ++node.counters.task_batches;
  node.counters.tasks_forwarded += taken.size();
  node.membership.daemons.at(resources.peer.id).sent_since +=
      static_cast<uint32_t>(taken.size());
}

}  // namespace

void PassOn(Node& node, Millis now, Actions& actions) {
  if (node.dispatch.queue.index.empty())
    return;
  for (const Room& resources : FindRoom(node, now)) {
    const std::vector<TaskKey> keys = ChooseForPeer(node, resources);
    if (!keys.empty())
      SendBatch(node, now, resources, keys, actions);
  }
}

}  // namespace dogwoodfall
