#ifndef DOGWOODFALL_MODULES_CORE_NODE_SCHEDULER_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_SCHEDULER_FLOW_H_

#include "base/millis.h"
#include "core/dispatch/queued_task.h"
#include "core/node/node.h"
#include "model/peer_message.h"
#include "ports/action.h"
#include "ports/endpoint_event.h"

/** @file
 * Scheduling of the tasks that a daemon holds: start them on its endpoints,
 * forward them to peers with free slots, and report their outcomes to the home.
 */

namespace dogwoodfall {

/** Result of withdrawing a task. */
enum class Withdrawal : uint8_t {
  /** The task is not held, or its stop was already requested. */
  kNotHeld = 0,
  /** The task was removed from the queue; this assignment started nothing. */
  kFromQueue = 1,
  /** The task was running; a stop command was sent to its endpoint. */
  kStopped = 2,
};

/** Starts queued tasks on free endpoints and forwards others to peers. */
void DispatchTasks(Node& node, Millis now, Actions& actions);

/** Removes a task from the queue, or stops it if it is running. */
Withdrawal WithdrawTask(Node& node, const TaskKey& key, Actions& actions);

/** Accepts tasks that a home assigned to this daemon. */
void AcceptTaskBatch(Node& node,
                     Millis now,
                     const DaemonRef& home,
                     const TaskBatch& batch,
                     Actions& actions);

/** Withdraws tasks that their home has cancelled. */
void HandleTaskCancellation(Node& node,
                            Millis now,
                            const DaemonRef& home,
                            const TaskCancellation& cancellation,
                            Actions& actions);

/** Handles an endpoint's answer to a start command. */
void HandleEndpointEvent(Node& node,
                         Millis now,
                         const EndpointEvent& event,
                         Actions& actions);

/** Ends tasks whose endpoint did not answer before the lease expired. */
void ExpireLeases(Node& node, Millis now, Actions& actions);

/** Returns the queued tasks of other homes, reported as not started. */
void ReturnQueuedTasks(Node& node, Millis now, Actions& actions);

/** Withdraws the tasks of a home that has ended, without reporting them. */
void DropTasksOf(Node& node, const DaemonRef& ended, Actions& actions);

/** Updates the set of endpoints that this daemon owns. */
void UpdateOwnedEndpoints(Node& node, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_SCHEDULER_FLOW_H_
