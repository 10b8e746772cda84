#ifndef DOGWOODFALL_MODULES_CORE_NODE_STORE_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_STORE_FLOW_H_

#include "base/millis.h"
#include "core/node/node.h"
#include "ports/action.h"

/** @file
 * The core's calls to the platform's store and the handling of their replies.
 */

namespace dogwoodfall {

/** Sends the store calls that are due. */
void SendDueStoreCalls(Node& node, Millis now, Actions& actions);

/** Reads the successor record of a home that is gone. */
void ReadSuccessorRecord(Node& node, const DaemonRef& home, Actions& actions);

/** Writes the successor records of this daemon and of the homes that it has
 * adopted.
 */
void WriteSuccessorRecords(Node& node, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_STORE_FLOW_H_
