#ifndef DOGWOODFALL_MODULES_CORE_FLEET_HANDOVER_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_HANDOVER_FLOW_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Hands a job to its next scheduler, with all that is known of it, unless it
 * is asked for by an older view than the own one: then that daemon gets the
 * view. When it has been passed on already, whoever has it now is asked
 * instead. A daemon that knows nothing of the job stays silent: saying "nothing
 * runs" would be a guess, and the next scheduler waits for the end of the
 * leases by itself.
 */
void ReleaseJob(FleetNode& node,
                const JobReleaseRequest& release,
                Millis now,
                Actions& actions);

/** Asks a daemon, which may be this one, to hand a job over. */
void AskForJob(FleetNode& node,
               const DaemonRef& holder,
               const SubmissionId& job,
               const DaemonRef& next,
               Millis now,
               Actions& actions);

/** A redirect of a job to the owner of a group by the present view. */
JobRedirect MakeRedirect(const FleetNode& node,
                         const SubmissionId& job,
                         const FleetMember& owner,
                         const EndpointGroup& group,
                         bool may_have_started);

/** Tells a peer of the daemons as this one knows them. */
void TellView(FleetNode& node,
              const DaemonRef& to,
              Millis now,
              Actions& actions);

/** Takes what a former scheduler tells of a job, or passes it on when the job
 * has gone to a third daemon meanwhile.
 */
void TakeToldProgress(FleetNode& node,
                      const DaemonRef& from,
                      const JobProgress& progress,
                      Millis now,
                      Actions& actions);

/** Notes that a job was not taken, as another daemon owns its endpoints. */
void NotePassedJob(FleetNode& node,
                   const JobSubmission& submission,
                   const DaemonRef& owner,
                   Millis now);

/** Forgets where jobs went whose callers have stopped waiting. */
void ForgetPassedJobs(FleetNode& node, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_HANDOVER_FLOW_H_
