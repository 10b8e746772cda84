#ifndef DOGWOODFALL_MODULES_CORE_NODE_TASK_FORWARDING_H_
#define DOGWOODFALL_MODULES_CORE_NODE_TASK_FORWARDING_H_

#include "base/millis.h"
#include "core/node/node.h"
#include "ports/action.h"

namespace dogwoodfall {

/** Forwards queued tasks of own submissions to peers that have free slots, one
 * message per peer. Peers of this zone come first.
 */
void ForwardTasks(Node& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_TASK_FORWARDING_H_
