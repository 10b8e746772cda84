#ifndef DOGWOODFALL_MODULES_CORE_FLEET_SPILLOVER_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_SPILLOVER_FLOW_H_

#include <vector>

#include "core/fleet/fleet_node.h"
#include "model/group_load.h"
#include "model/group_room.h"

namespace dogwoodfall {

/** Computes the load of all groups that this daemon owns, for heartbeats. */
std::vector<GroupLoad> ComputeOwnGroupLoads(const FleetNode& node, Millis now);

/** Computes the free capacity of groups that this daemon owns by the size of
 * tasks, for heartbeats; empty unless SchedulingOptions::packing is set.
 */
std::vector<GroupRoom> ComputeOwnGroupRooms(
    const FleetNode& node,
    const std::vector<GroupLoad>& own_loads,
    Millis now);

/** Redirects a submission of a job whose earlier submission runs, or may run,
 * in another group: one that it was forwarded to shortly before, or one whose
 * scheduler lists it in its heartbeats. In a large fleet a receiver gets the
 * heartbeats of its own zone only, so that the scheduler has to check this.
 *
 * @return true when the submission was redirected
 */
bool RedirectToRunningGroup(FleetNode& node,
                            const DaemonRef& receiver,
                            const JobSubmission& submission,
                            Millis now);

/** Forwards a job that has not started to a less loaded group, if there is one.
 *
 * @return true when the job was forwarded
 * @see core/scheduling/spillover.h
 */
bool ForwardToLessLoadedGroup(FleetNode& node,
                              const DaemonRef& receiver,
                              const JobSubmission& submission,
                              Millis now,
                              Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_SPILLOVER_FLOW_H_
