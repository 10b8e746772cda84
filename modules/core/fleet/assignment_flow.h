#ifndef DOGWOODFALL_MODULES_CORE_FLEET_ASSIGNMENT_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_ASSIGNMENT_FLOW_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Gives a job that has just come to the scheduler that runs it already, or to
 * the one of its group in the own zone.
 */
void AssignNewJob(FleetNode& node,
                  PendingJob& pending,
                  Millis now,
                  Actions& actions);

/** Gives a job to another scheduler, as its former one has asked. */
void RedirectJob(FleetNode& node,
                 Millis now,
                 const DaemonRef& from,
                 const JobRedirect& redirect,
                 Actions& actions);

/** Gives jobs that have no scheduler, or whose scheduler is gone, to one. */
void AssignJobs(FleetNode& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_ASSIGNMENT_FLOW_H_
