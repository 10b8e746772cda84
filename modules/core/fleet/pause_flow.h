#ifndef DOGWOODFALL_MODULES_CORE_FLEET_PAUSE_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_PAUSE_FLOW_H_

#include "base/millis.h"
#include "core/fleet/fleet_node.h"
#include "ports/action.h"

namespace dogwoodfall {

/** Detects that this process was paused; called before each event is handled.
 *
 * While a process is paused, other daemons may have taken over its endpoints,
 * and messages of its peers wait to be read. After a pause, starts are blocked
 * until the store has confirmed who owns the endpoints, and the peers' silence
 * during the pause does not count.
 */
void HandlePause(FleetNode& node, Millis now, Actions& actions);

/** Returns how long a request that is read now may have waited while this
 * process was paused.
 */
Millis GetMaxRequestAge(const FleetNode& node, Millis now);

/** Ends the backlog of a pause once it has been read; called on each tick. */
void UpdateBacklog(FleetNode& node, Millis now);

/** Allows starts again after the store has confirmed the membership. */
void HandleMembershipConfirmation(FleetNode& node,
                                  Millis now,
                                  Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_PAUSE_FLOW_H_
