#ifndef DOGWOODFALL_MODULES_CORE_FLEET_FLEET_EVENTS_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_FLEET_EVENTS_H_

#include <optional>

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Creates the state of a daemon that has just started. */
FleetNode CreateFleetNode(const DaemonMember& self, Incarnation incarnation);

/** Returns true when the platform may route callers to this daemon. */
bool IsReady(const FleetNode& node);

/** Handles a job from a caller. The answer is an AnswerJob action, which may
 * follow in a later event.
 *
 * @param measured_age time since the request has arrived at this host; none
 * when the system does not report it
 */
void OnJob(FleetNode& node,
           Millis now,
           CallerToken caller,
           const TransientJob& job,
           std::optional<Millis> measured_age,
           Actions& actions);

/** Handles a caller's request to cancel a job. The answer is an
 * AnswerCancellation action, which may follow in a later event.
 */
void OnCancelJob(FleetNode& node,
                 Millis now,
                 CallerToken caller,
                 const SubmissionId& job,
                 Actions& actions);

/** Handles a caller that has closed its connection. */
void OnCallerDisconnected(FleetNode& node,
                          Millis now,
                          CallerToken caller,
                          Actions& actions);

/** Handles the reply of an endpoint to a command, or its time-out. */
void OnEndpointReply(FleetNode& node,
                     Millis now,
                     const EndpointReply& reply,
                     Actions& actions);

/** Handles the first part of a large reply of the store. */
void OnKeyValueReplyArriving(FleetNode& node, StoreToken token);

/** Handles the reply of the store to a call, or its time-out. */
void OnKeyValueReply(FleetNode& node,
                     Millis now,
                     StoreToken token,
                     const KeyValueReply& reply,
                     Actions& actions);

/** Handles a frame from a peer. */
void OnPeerFrame(FleetNode& node,
                 Millis now,
                 const PeerFrame& frame,
                 Actions& actions);

/** Handles a frame that can't be sent to its peer, now or later. */
void OnFrameNotSendable(FleetNode& node,
                        Millis now,
                        const PeerFrame& frame,
                        Actions& actions);

/** Handles a heartbeat from a peer. */
void OnHeartbeat(FleetNode& node,
                 Millis now,
                 const Heartbeat& heartbeat,
                 Actions& actions);

/** Does the work that is due; called periodically. */
void OnTick(FleetNode& node, Millis now, Actions& actions);

/** Begins a graceful shutdown. */
void OnStop(FleetNode& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_FLEET_EVENTS_H_
