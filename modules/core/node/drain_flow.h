#ifndef DOGWOODFALL_MODULES_CORE_NODE_DRAIN_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_DRAIN_FLOW_H_

#include "base/millis.h"
#include "core/node/node.h"
#include "model/daemon_ref.h"
#include "model/peer_message.h"
#include "ports/action.h"

/** @file
 * The graceful shutdown. Work in flight is completed, tasks that have not
 * started are returned to their homes, the records of ended submissions are
 * handed over to a peer, and then the process exits.
 */

namespace dogwoodfall {

/** Moves a graceful shutdown to its next phase if the current one is done. */
void AdvanceDrain(Node& node, Millis now, Actions& actions);

/** Adopts the submissions of a daemon that is shutting down. */
void ApplyHandover(Node& node,
                   Millis now,
                   const DaemonRef& from,
                   const LedgerHandover& handover,
                   Actions& actions);

/** Handles the confirmation that the successor adopted a home. */
void HandleHandoverAccepted(Node& node,
                            const DaemonRef& from,
                            const LedgerHandoverAccepted& accepted);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_DRAIN_FLOW_H_
