#ifndef DOGWOODFALL_MODULES_CORE_FLEET_ROOM_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_ROOM_FLOW_H_

#include <vector>

#include "core/fleet/fleet_node.h"
#include "model/group_load.h"

namespace dogwoodfall {

/** The room of all groups that this daemon owns, for heartbeats. */
std::vector<GroupLoad> OwnLoads(const FleetNode& node, Millis now);

/** Passes a job that has not started to a group with more room, if there is
 * one.
 *
 * @see core/scheduling/spill.h
 */
bool PassToRoom(FleetNode& node,
                const DaemonRef& receiver,
                const JobSubmission& submission,
                Millis now,
                Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_ROOM_FLOW_H_
