#ifndef DOGWOODFALL_MODULES_CORE_FLEET_CUT_OFF_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_CUT_OFF_FLOW_H_

#include "base/ids.h"
#include "base/millis.h"
#include "core/fleet/fleet_node.h"
#include "ports/action.h"

namespace dogwoodfall {

/** @file
 * Requests that a network cut has held up. Their bytes arrive after the cut, so
 * their age can't count from their reading alone. A request can only have been
 * held up while this daemon was cut off and read no request of any caller;
 * requests that still get through show that the path is open.
 */

/** Records that the store has answered. The first answer or heartbeat after a
 * cut causes a call to confirm the membership.
 */
void RecordStoreAnswer(FleetNode& node, Millis now, Actions& actions);

/** Records that a heartbeat of a peer was received. A whole zone may be cut
 * off, so that peers of the own zone count only when no other zone sends
 * heartbeats to this daemon.
 */
void RecordPeerHeard(FleetNode& node,
                     const ZoneId& zone,
                     Millis now,
                     Actions& actions);

/** Records that a request of a caller was read. */
void RecordCallerRequest(FleetNode& node, Millis now);

/** Returns true while neither the store nor peers are heard. */
bool IsCutOff(const FleetNode& node, Millis now);

/** Returns how long a request that is read now may have been held up; zero when
 * it is short enough for the announcement of its job to precede a repeat.
 * Called after RecordCallerRequest().
 */
Millis GetMaxHeldUpTime(const FleetNode& node, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_CUT_OFF_FLOW_H_
