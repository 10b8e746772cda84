#ifndef DOGWOODFALL_MODULES_CORE_NODE_PEER_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_PEER_FLOW_H_

#include <string>

#include "base/millis.h"
#include "core/node/node.h"
#include "model/daemon_ref.h"
#include "model/heartbeat.h"
#include "ports/action.h"

/** @file
 * What passes between daemons: heartbeats, messages, lists and the end of a
 * process life.
 */

namespace dogwoodfall {

/** This daemon's heartbeat. */
Heartbeat MakeHeartbeat(Node& node, Millis now);

/** Sends the heartbeat to every daemon of the list. */
void SendHeartbeats(Node& node, Millis now, Actions& actions);

/** Settles everything that was bound to a process life that has ended. */
void ResolveEndedIncarnation(Node& node,
                             Millis now,
                             const DaemonRef& ended,
                             Actions& actions);

/** Looks for process lives that the platform's list shows to be gone. */
void DetectEndedIncarnations(Node& node, Millis now, Actions& actions);

/** Takes lists that came from the store or a peer if they are newer. */
void ApplyConfiguration(Node& node, const std::string& text, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_PEER_FLOW_H_
