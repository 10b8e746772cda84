#ifndef DOGWOODFALL_MODULES_CORE_NODE_SCHEDULER_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_SCHEDULER_FLOW_H_

#include "base/millis.h"
#include "core/dispatch/queued_task.h"
#include "core/node/node.h"
#include "model/peer_message.h"
#include "ports/action.h"
#include "ports/endpoint_event.h"

/** @file
 * What a daemon does with the tasks it holds: start them on its endpoints, pass
 * them to peers that have room, and report how they ended to their home.
 */

namespace dogwoodfall {

/** What withdrawing a task came to. */
enum class Withdrawal : uint8_t {
  /** It waits here no more, or never did. */
  kNotHere = 0,
  /** It was waiting and is taken out; this assignment started nothing. */
  kFromQueue = 1,
  /** It was running and its endpoint is asked to stop it. */
  kStopped = 2,
};

/** Starts what can be started, and passes on what peers have room for. */
void Pump(Node& node, Millis now, Actions& actions);

/** Takes a task out that is no longer wanted. */
Withdrawal Withdraw(Node& node, const TaskKey& key, Actions& actions);

/** Takes tasks that a home assigned to this daemon. */
void TakeBatch(Node& node,
               Millis now,
               const DaemonRef& home,
               const TaskBatch& batch,
               Actions& actions);

/** Takes out tasks that their home no longer wants. */
void TakeCancels(Node& node,
                 Millis now,
                 const DaemonRef& home,
                 const TaskCancellation& cancels,
                 Actions& actions);

/** Takes an endpoint's answer to a start. */
void TakeEndpointEvent(Node& node,
                       Millis now,
                       const EndpointEvent& event,
                       Actions& actions);

/** Ends tasks whose endpoint did not answer within the lease. */
void ExpireLeases(Node& node, Millis now, Actions& actions);

/** Gives tasks of other homes that wait here back as not started. */
void ReturnQueuedTasks(Node& node, Millis now, Actions& actions);

/** Takes out the tasks of a home that has ended. */
void DropTasksOf(Node& node, const DaemonRef& ended, Actions& actions);

/** Updates which endpoints this daemon fills. */
void UpdateOwnedEndpoints(Node& node, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_SCHEDULER_FLOW_H_
