#ifndef DOGWOODFALL_MODULES_CORE_FLEET_ASSIGNMENT_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_ASSIGNMENT_FLOW_H_

#include <optional>

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** A daemon that runs a job, and the endpoints that it runs on. */
struct RunningJob {
  DaemonRef scheduler;
  EndpointGroup group;
};

/** Returns the scheduler that lists a job as running in its heartbeat. A caller
 * may send a job again to any daemon.
 */
std::optional<RunningJob> FindRunningJob(const FleetNode& node,
                                         const SubmissionId& job,
                                         Millis now);

/** Assigns a newly received job to the scheduler that already runs it, or to
 * the scheduler of its group in the own zone.
 */
void AssignNewJob(FleetNode& node,
                  PendingJob& pending,
                  Millis now,
                  Actions& actions);

/** Assigns a job to another scheduler, as requested by its previous one.
 * Ignored when `from` is not the job's scheduler.
 */
void RedirectJob(FleetNode& node,
                 Millis now,
                 const DaemonRef& from,
                 const JobRedirect& redirect,
                 Actions& actions);

/** Assigns jobs that have no scheduler, or whose scheduler no longer owns their
 * group, and abandons jobs whose callers have stopped waiting.
 */
void AssignJobs(FleetNode& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_ASSIGNMENT_FLOW_H_
