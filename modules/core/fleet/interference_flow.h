#ifndef DOGWOODFALL_MODULES_CORE_FLEET_INTERFERENCE_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_INTERFERENCE_FLOW_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Sends the pairs of kinds that this daemon has found to slow each other down
 * to the owners of groups and their standbys: soon after a change, and
 * periodically, so that a new owner has them. Sends nothing while it has found
 * none.
 */
void SendInterference(FleetNode& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_INTERFERENCE_FLOW_H_
