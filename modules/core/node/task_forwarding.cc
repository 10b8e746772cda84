#include "core/node/task_forwarding.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/membership/membership.h"
#include "model/task_assignment.h"

namespace dogwoodfall {
namespace {

/** Size of payloads in one message after which no more tasks are added. The
 * last task may exceed it.
 */
constexpr size_t kMaxBatchPayloadBytes = 2'000'000;

/** Returns true if a zone has an endpoint that can run the task. */
bool ZoneCanRun(const Node& node,
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

/** A peer with free slots, and the number of tasks that it may be sent. */
struct PeerCapacity {
  DaemonRef peer;
  ZoneId zone;
  uint32_t slots = 0;
};

/** Finds the peers with free slots, ordered by this zone first, then by the
 * most free slots.
 */
std::vector<PeerCapacity> FindPeerCapacities(const Node& node, Millis now) {
  std::vector<PeerCapacity> capacities;
  for (const DaemonRef& peer :
       ReachablePeers(node.membership, node.settings.membership, now)) {
    const KnownDaemon& known = node.membership.daemons.at(peer.id);
    const uint32_t used_slots =
        known.last_heartbeat.queued_tasks + known.tasks_sent_since_heartbeat;
    if (known.last_heartbeat.draining || known.last_heartbeat.revision == 0 ||
        known.last_heartbeat.free_slots <= used_slots ||
        !HasSession(node.sessions, peer))
      continue;
    capacities.push_back({peer, known.member.zone,
                          known.last_heartbeat.free_slots - used_slots});
  }
  std::sort(capacities.begin(), capacities.end(),
            [&node](const PeerCapacity& a, const PeerCapacity& b) {
              const bool is_a_local = a.zone == node.settings.zone;
              const bool is_b_local = b.zone == node.settings.zone;
              if (is_a_local != is_b_local)
                return is_a_local;
              return a.slots != b.slots ? a.slots > b.slots : a.peer < b.peer;
            });
  return capacities;
}

/** Chooses queued tasks of own submissions to forward to a peer. */
std::vector<TaskKey> ChooseTasksForPeer(const Node& node,
                                        const PeerCapacity& capacity) {
  std::vector<TaskKey> chosen;
  size_t payload_bytes = 0;
  for (const CustomerId& id : ServingOrder(node.dispatch.queue)) {
    const PlanLimits* limits = FindLimits(node.configuration, id);
    if (limits == nullptr)
      continue;
    for (const auto& [rank, task] :
         node.dispatch.queue.customers.at(id).tasks) {
      if (chosen.size() >= capacity.slots ||
          payload_bytes >= kMaxBatchPayloadBytes)
        return chosen;
      if (task.home == node.settings.self &&
          ZoneCanRun(node, capacity.zone, *limits, task.task)) {
        chosen.push_back(KeyOf(task));
        payload_bytes += task.task.payload.size();
      }
    }
  }
  return chosen;
}

TaskAssignment MakeAssignment(const QueuedTask& task, Millis now) {
  TaskAssignment assignment;
  assignment.submission = task.submission;
  assignment.customer = task.customer;
  assignment.task = task.task;
  assignment.first_attempt = task.next_attempt;
  assignment.time_left = task.deadline - now;
  assignment.remaining_work = task.remaining_work;
  return assignment;
}

/** Sends tasks to a peer in one message and records the peer as their holder.
 * The tasks return to the queue if the message can't be sent.
 */
void SendBatch(Node& node,
               Millis now,
               const PeerCapacity& capacity,
               const std::vector<TaskKey>& keys,
               Actions& actions) {
  TaskBatch batch;
  std::vector<QueuedTask> removed;
  for (const TaskKey& key : keys) {
    removed.push_back(*Remove(node.dispatch.queue, key));
    batch.tasks.push_back(MakeAssignment(removed.back(), now));
  }
  if (!Send(node.sessions, capacity.peer, std::move(batch),
            node.settings.sessions, now, actions)) {
    for (QueuedTask& task : removed)
      Push(node.dispatch.queue, std::move(task));
    return;
  }
  for (const QueuedTask& task : removed) {
    SubmissionRecord* record =
        FindRecord(node.ledger, KeyOf(task.customer, task.submission));
    TaskRecord& task_record =
        record->tasks[record->task_index.at(task.task.id)];
    task_record.holder = capacity.peer;
    task_record.first_attempt = task.next_attempt;
    record->waste.Add(task.waste);
  }
  ++node.counters.task_batches;
  node.counters.tasks_forwarded += removed.size();
  node.membership.daemons.at(capacity.peer.id).tasks_sent_since_heartbeat +=
      static_cast<uint32_t>(removed.size());
}

}  // namespace

void ForwardTasks(Node& node, Millis now, Actions& actions) {
  if (node.dispatch.queue.index.empty())
    return;
  for (const PeerCapacity& capacity : FindPeerCapacities(node, now)) {
    const std::vector<TaskKey> keys = ChooseTasksForPeer(node, capacity);
    if (!keys.empty())
      SendBatch(node, now, capacity, keys, actions);
  }
}

}  // namespace dogwoodfall
