#ifndef DOGWOODFALL_MODULES_CORE_NODE_STORE_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_STORE_FLOW_H_

#include "base/millis.h"
#include "core/node/node.h"
#include "ports/action.h"

/** @file
 * The core's calls to the platform's store and what their replies change.
 */

namespace dogwoodfall {

/** Makes every store call that is due. */
void SendDueStoreCalls(Node& node, Millis now, Actions& actions);

/** Reads the stop note of a home that is gone. */
void ReadSuccessorRecord(Node& node, const DaemonRef& home, Actions& actions);

/** Writes that a successor knows this daemon's submissions. */
void WriteSuccessorRecords(Node& node, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_STORE_FLOW_H_
