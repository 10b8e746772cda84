#ifndef DOGWOODFALL_MODULES_CORE_FLEET_RECEPTION_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_RECEPTION_FLOW_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Accepts a caller's job and assigns it to a scheduler. A job that is already
 * pending gets another caller. A job whose request has waited for so long that
 * its caller may have sent it again to another daemon is refused.
 *
 * @param request_age maximum time since the request has arrived
 * @param max_held_up_time time for which a network cut may have held it up
 */
void ReceiveJob(FleetNode& node,
                Millis now,
                CallerToken caller,
                const TransientJob& job,
                Millis request_age,
                Millis max_held_up_time,
                Actions& actions);

/** Removes a caller, and cancels its job when no other caller waits for it. */
void RemoveCaller(FleetNode& node,
                  Millis now,
                  CallerToken caller,
                  Actions& actions);

/** Answers all callers that wait for a job, and withdraws it from the other
 * daemons that may run it.
 * @param ended_by the daemon that has reported its end; none if it has not
 * ended
 */
void AnswerCallers(FleetNode& node,
                   Millis now,
                   const DaemonRef& ended_by,
                   const SubmissionId& job,
                   const JobOutcome& outcome,
                   Actions& actions);

/** Handles the result of a job from its scheduler. The previous scheduler may
 * also report one, as it may have finished the job before the handover.
 */
void HandleReport(FleetNode& node,
                  Millis now,
                  const DaemonRef& from,
                  const JobReport& report,
                  Actions& actions);

/** Abandons a job: answers its callers and cancels it at its scheduler. */
void AbandonJob(FleetNode& node,
                Millis now,
                const SubmissionId& job,
                const char* reason,
                Actions& actions);

/** Abandons a job that can't be sent to its scheduler. */
void AbandonUnsentJob(FleetNode& node,
                      Millis now,
                      const SubmissionId& job,
                      const DaemonRef& scheduler,
                      Actions& actions);

/** Cancels a job that a receiver has sent to this daemon, whether it is
 * scheduled or still waits for a newer view.
 */
void CancelReceivedJob(FleetNode& node,
                       const SubmissionId& id,
                       const DaemonRef& receiver,
                       const char* reason,
                       Millis now,
                       Actions& actions);

/** Reports the jobs that the own scheduler has finished to their receivers. */
void ReportFinishedJobs(FleetNode& node, Millis now, Actions& actions);

/** Handles a job from a peer. A job that was delayed between the daemons is not
 * started before its receiver confirms that it still waits. A job whose age is
 * not known is kept until it is.
 */
void HandleJobSubmission(FleetNode& node,
                         Millis now,
                         const DaemonRef& from,
                         const JobSubmission& submission,
                         Actions& actions);

/** Determines the age of the kept jobs of a receiver after a round trip.
 * @return true when it was determined for any
 */
bool DetermineAgeOfEarlyJobs(FleetNode& node, const DaemonRef& receiver);

/** Assigns the kept jobs to the own scheduler whose age and view are known. */
void ScheduleEarlyJobs(FleetNode& node, Millis now, Actions& actions);

/** Assigns a job to the own scheduler. Keeps it for later when it is based on
 * a newer view; redirects it when another daemon owns its group or a less
 * loaded group is available.
 */
void ScheduleLocally(FleetNode& node,
                     Millis now,
                     const DaemonRef& receiver,
                     const JobSubmission& submission,
                     Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_RECEPTION_FLOW_H_
