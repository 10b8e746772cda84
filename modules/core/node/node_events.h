#ifndef DOGWOODFALL_MODULES_CORE_NODE_NODE_EVENTS_H_
#define DOGWOODFALL_MODULES_CORE_NODE_NODE_EVENTS_H_

#include <string>

#include "base/ids.h"
#include "base/millis.h"
#include "core/node/node.h"
#include "model/heartbeat.h"
#include "model/instance_list.h"
#include "model/peer_frame.h"
#include "model/submission.h"
#include "ports/action.h"
#include "ports/endpoint_event.h"
#include "ports/store_call.h"

/** @file
 * The event handlers of a core. Each one receives an event and the current
 * time, updates the node and appends the actions to perform, in order.
 */

namespace dogwoodfall {

/** Handles a job or a single request that a caller submits. The answer is an
 * AnswerCaller action, which this or a later event emits.
 */
void OnSubmit(Node& node,
              Millis now,
              CallerToken caller,
              Submission submission,
              Actions& actions);

/** Handles a caller's query of the state of a submission.
 *
 * @param wait maximum time to wait for the submission to end
 */
void OnStatus(Node& node,
              Millis now,
              CallerToken caller,
              const CustomerId& customer,
              const SubmissionId& submission,
              Millis wait,
              Actions& actions);

/** Handles a caller's request to cancel a submission. */
void OnCancel(Node& node,
              Millis now,
              CallerToken caller,
              const CustomerId& customer,
              const SubmissionId& submission,
              Actions& actions);

/** Mints the id of a submission that a caller is going to send. */
SubmissionId OnMint(Node& node, Millis now);

/** Handles a frame that can't be sent to its peer, now or later. */
void OnFrameNotSendable(Node& node,
                        Millis now,
                        const PeerFrame& frame,
                        Actions& actions);

/** Handles a frame from a peer. */
void OnPeerFrame(Node& node,
                 Millis now,
                 const PeerFrame& frame,
                 Actions& actions);

/** Handles a heartbeat from a peer. */
void OnHeartbeat(Node& node,
                 Millis now,
                 const Heartbeat& heartbeat,
                 Actions& actions);

/** Handles the answer of an endpoint to a start command, or the failure of the
 * command.
 */
void OnEndpointEvent(Node& node,
                     Millis now,
                     const EndpointEvent& event,
                     Actions& actions);

/** Handles the reply of the store to a call, or the failure of the call. */
void OnStoreReply(Node& node,
                  Millis now,
                  StoreToken token,
                  const StoreReply& reply,
                  Actions& actions);

/** Handles the platform's instance list after a read. */
void OnInstanceList(Node& node,
                    Millis now,
                    const InstanceList& list,
                    Actions& actions);

/** Handles the request of the operator or the platform for a graceful shutdown.
 */
void OnDrain(Node& node, Millis now, Actions& actions);

/** Runs time-driven work. To be called every few milliseconds. */
void OnTick(Node& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_NODE_EVENTS_H_
