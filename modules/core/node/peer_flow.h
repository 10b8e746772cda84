#ifndef DOGWOODFALL_MODULES_CORE_NODE_PEER_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_PEER_FLOW_H_

#include <string>

#include "base/millis.h"
#include "core/node/node.h"
#include "model/daemon_ref.h"
#include "model/heartbeat.h"
#include "ports/action.h"

/** @file
 * Communication between daemons: heartbeats, messages, configuration updates
 * and the end of an incarnation.
 */

namespace dogwoodfall {

/** Creates this daemon's next heartbeat and increments its number. */
Heartbeat MakeHeartbeat(Node& node, Millis now);

/** Sends a heartbeat to every daemon in the platform's list. */
void SendHeartbeats(Node& node, Millis now, Actions& actions);

/** Resolves tasks and forwards that depend on an incarnation that has ended. */
void ResolveEndedIncarnation(Node& node,
                             Millis now,
                             const DaemonRef& ended,
                             Actions& actions);

/** Detects incarnations that have ended and resolves the tasks and forwards
 * that depend on them.
 */
void DetectEndedIncarnations(Node& node, Millis now, Actions& actions);

/** Applies a configuration received from the store or a peer if its revision is
 * newer than the active one. Logs it and changes nothing if it is invalid.
 */
void ApplyConfiguration(Node& node, const std::string& text, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_PEER_FLOW_H_
