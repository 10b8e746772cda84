#ifndef DOGWOODFALL_MODULES_CORE_FLEET_HANDOVER_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_HANDOVER_FLOW_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Hands a job and its progress over to the next scheduler.
 *
 * When the request is based on an older view than the own one, this daemon
 * still owns the job's group, the one that the receiver has named, and that
 * scheduler owns none, it sends its view to that scheduler instead. When the
 * job has already been forwarded, the request is forwarded to the daemon that
 * schedules it now. A daemon without a record of the job sends no progress,
 * because runs of the job may be active. The next scheduler then waits until
 * the leases have expired.
 */
void ReleaseJob(FleetNode& node,
                const JobReleaseRequest& request,
                Millis now,
                Actions& actions);

/** Requests the handover of a job from a daemon, which may be this one. */
void RequestJobRelease(FleetNode& node,
                       const DaemonRef& holder,
                       const JobReleaseRequest& request,
                       Millis now,
                       Actions& actions);

/** Makes a redirect of a job to the owner of a group in the current view. */
JobRedirect MakeRedirect(const FleetNode& node,
                         const SubmissionId& job,
                         const FleetMember& owner,
                         const EndpointGroup& group,
                         bool may_have_started);

/** Sends the own membership view to a peer. */
void SendView(FleetNode& node,
              const DaemonRef& to,
              Millis now,
              Actions& actions);

/** Tells the daemons that may schedule them which endpoints were lost with
 * tasks of jobs that are not completed. Their callers may send them again to
 * any daemon.
 */
void AnnounceLosses(FleetNode& node, Millis now, Actions& actions);

/** Handles the progress of a job from its previous scheduler. Forwards it when
 * the job has gone to a third daemon in the meantime.
 */
void HandleJobProgress(FleetNode& node,
                       const DaemonRef& from,
                       const JobProgress& progress,
                       Millis now,
                       Actions& actions);

/** Sends a daemon that has just started all endpoints that were lost with
 * tasks, if this daemon is one that was told.
 */
void SendAllLosses(FleetNode& node,
                   const DaemonRef& to,
                   Millis now,
                   Actions& actions);

/** Records that tasks of a job may have started since it was forwarded. */
void RecordPossibleStart(FleetNode& node, const SubmissionId& job);

/** Records that a job was not accepted because another daemon is to schedule
 * it. A job that may have started is not recorded, and an earlier record of it
 * no longer counts as proof that it is unstarted.
 */
void RecordForwardedJob(FleetNode& node,
                        const JobSubmission& submission,
                        const DaemonRef& owner,
                        Millis now);

/** Records that a job was forwarded to another group with free capacity. An
 * earlier record that it may have started stays in force.
 */
void RecordSpillover(FleetNode& node,
                     const SubmissionId& job,
                     const DaemonRef& owner,
                     const EndpointGroup& group,
                     Millis now);

/** Removes the records of forwarded jobs whose callers have stopped waiting. */
void RemoveExpiredForwardedJobs(FleetNode& node, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_HANDOVER_FLOW_H_
