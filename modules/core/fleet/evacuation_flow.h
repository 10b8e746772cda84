#ifndef DOGWOODFALL_MODULES_CORE_FLEET_EVACUATION_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_EVACUATION_FLOW_H_

#include <optional>

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Returns true when operators have evacuated a zone, as far as known here. */
bool IsEvacuated(const FleetNode& node, const ZoneId& zone);

/** Chooses a group of a zone that is not evacuated, for a job that can't run in
 * its own one. The jobs are spread evenly over these groups, by their ids, so
 * that all daemons choose the same group for a job.
 *
 * @return nothing when all zones are evacuated
 */
std::optional<EndpointGroup> ChooseGroupOutsideEvacuation(
    const FleetNode& node,
    const SubmissionId& job,
    Millis now);

/** Applies the operators' requests in an update of the store. */
void ApplyStoredEvacuations(FleetNode& node,
                            const StoreUpdate& update,
                            Millis now,
                            Actions& actions);

/** Applies the state that a peer has sent. */
void HandleEvacuationNotice(FleetNode& node,
                            const EvacuationNotice& notice,
                            Millis now,
                            Actions& actions);

/** Redirects a new submission for a group of an evacuated zone to another zone,
 * or refuses it when all are evacuated.
 *
 * @return true when the submission was redirected or refused
 */
bool RedirectFromEvacuatedZone(FleetNode& node,
                               const DaemonRef& receiver,
                               const JobSubmission& submission,
                               Millis now,
                               Actions& actions);

/** Moves the jobs that this daemon schedules in evacuated zones and that have
 * not started to other zones. Ends those that have started and have tasks left
 * that can't be started.
 */
void ReviewEvacuatedJobs(FleetNode& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_EVACUATION_FLOW_H_
