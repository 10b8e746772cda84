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
 * The events of a core. Each function takes what happened and the time, changes
 * the node and appends what is to be done to the actions, in order.
 */

namespace dogwoodfall {

/** A caller submits a job or a request. It is answered by an AnswerCaller,
 * which may come in a later event.
 */
void OnSubmit(Node& node,
              Millis now,
              CallerToken caller,
              Submission submission,
              Actions& actions);

/** A caller asks for the state of a submission.
 *
 * @param wait how long to wait for its end
 */
void OnStatus(Node& node,
              Millis now,
              CallerToken caller,
              const CustomerId& customer,
              const SubmissionId& submission,
              Millis wait,
              Actions& actions);

/** A caller cancels a submission. */
void OnCancel(Node& node,
              Millis now,
              CallerToken caller,
              const CustomerId& customer,
              const SubmissionId& submission,
              Actions& actions);

/** Mints an id for a submission that a caller will send. */
SubmissionId OnMint(Node& node, Millis now);

/** A frame came in from a peer. */
void OnPeerFrame(Node& node,
                 Millis now,
                 const PeerFrame& frame,
                 Actions& actions);

/** A heartbeat came in from a peer. */
void OnHeartbeat(Node& node,
                 Millis now,
                 const Heartbeat& heartbeat,
                 Actions& actions);

/** An endpoint answered a start, or it is known that it will not. */
void OnEndpointEvent(Node& node,
                     Millis now,
                     const EndpointEvent& event,
                     Actions& actions);

/** The store answered a call. */
void OnStoreReply(Node& node,
                  Millis now,
                  StoreToken token,
                  const StoreReply& reply,
                  Actions& actions);

/** The platform's list was read. */
void OnInstanceList(Node& node,
                    Millis now,
                    const InstanceList& list,
                    Actions& actions);

/** The operator or the platform asks for a planned stop. */
void OnDrain(Node& node, Millis now, Actions& actions);

/** Time passed; to be called every few milliseconds. */
void OnTick(Node& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_NODE_EVENTS_H_
