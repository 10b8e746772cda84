#ifndef DOGWOODFALL_MODULES_CORE_FLEET_FLEET_EVENTS_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_FLEET_EVENTS_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** A daemon that begins now. */
FleetNode OpenFleetNode(const DaemonMember& self, Incarnation incarnation);

/** True when callers may be sent here. */
bool IsReady(const FleetNode& node);

/** A caller sent a job; it is answered by AnswerJob, now or later. */
void OnJob(FleetNode& node,
           Millis now,
           CallerToken caller,
           const TransientJob& job,
           Actions& actions);

/** A caller no longer waits. */
void OnCallerGone(FleetNode& node,
                  Millis now,
                  CallerToken caller,
                  Actions& actions);

/** An endpoint answered an order, or did not. */
void OnEndpointReply(FleetNode& node,
                     Millis now,
                     const EndpointReply& reply,
                     Actions& actions);

/** The store answered a call, or did not. */
void OnKeyValueReply(FleetNode& node,
                     Millis now,
                     StoreToken token,
                     const KeyValueReply& reply,
                     Actions& actions);

/** A peer sent a frame. */
void OnPeerFrame(FleetNode& node,
                 Millis now,
                 const PeerFrame& frame,
                 Actions& actions);

/** A peer sent a heartbeat. */
void OnHeartbeat(FleetNode& node,
                 Millis now,
                 const Heartbeat& heartbeat,
                 Actions& actions);

/** Time has passed. */
void OnTick(FleetNode& node, Millis now, Actions& actions);

/** A planned stop begins. */
void OnStop(FleetNode& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_FLEET_EVENTS_H_
