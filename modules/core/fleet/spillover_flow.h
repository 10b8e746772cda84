#ifndef DOGWOODFALL_MODULES_CORE_FLEET_SPILLOVER_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_SPILLOVER_FLOW_H_

#include <vector>

#include "core/fleet/fleet_node.h"
#include "model/group_load.h"

namespace dogwoodfall {

/** Computes the load of all groups that this daemon owns, for heartbeats. */
std::vector<GroupLoad> ComputeOwnGroupLoads(const FleetNode& node, Millis now);

/** Redirects a submission of a job that was forwarded to another group shortly
 * before, as an earlier submission of it may still run there.
 *
 * @return true when the submission was redirected
 */
bool FollowSpillover(FleetNode& node,
                     const DaemonRef& receiver,
                     const JobSubmission& submission);

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
