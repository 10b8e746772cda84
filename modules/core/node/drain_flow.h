#ifndef DOGWOODFALL_MODULES_CORE_NODE_DRAIN_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_DRAIN_FLOW_H_

#include "base/millis.h"
#include "core/node/node.h"
#include "model/daemon_ref.h"
#include "model/peer_message.h"
#include "ports/action.h"

/** @file
 * The planned stop: nothing in flight is cut off, unstarted work and the
 * knowledge of ended submissions go to peers, then the process exits.
 */

namespace dogwoodfall {

/** Takes the next step of a planned stop if it is due. */
void StepDrain(Node& node, Millis now, Actions& actions);

/** Takes over submissions of a daemon that is stopping. */
void TakeHandover(Node& node,
                  Millis now,
                  const DaemonRef& from,
                  const LedgerHandover& handover,
                  Actions& actions);

/** The successor has taken over the submissions of a home. */
void TakeHandoverConfirmation(Node& node,
                              const DaemonRef& from,
                              const LedgerHandoverAccepted& taken);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_DRAIN_FLOW_H_
