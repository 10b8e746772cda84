#ifndef DOGWOODFALL_MODULES_CORE_NODE_TASK_FORWARDING_H_
#define DOGWOODFALL_MODULES_CORE_NODE_TASK_FORWARDING_H_

#include "base/millis.h"
#include "core/node/node.h"
#include "ports/action.h"

namespace dogwoodfall {

/** Sends waiting tasks of own submissions to peers that have free slots: those
 * of this zone first, one message for each peer.
 */
void ForwardTasks(Node& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_TASK_FORWARDING_H_
