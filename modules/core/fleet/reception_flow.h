#ifndef DOGWOODFALL_MODULES_CORE_FLEET_RECEPTION_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_RECEPTION_FLOW_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Takes a caller's job and gives it to its scheduler. */
void ReceiveJob(FleetNode& node,
                Millis now,
                CallerToken caller,
                const TransientJob& job,
                Actions& actions);

/** Forgets a caller; a job that nobody waits for any more is stopped. */
void ForgetCaller(FleetNode& node,
                  Millis now,
                  CallerToken caller,
                  Actions& actions);

/** Answers everyone who waits for a job. */
void AnswerCallers(FleetNode& node,
                   Millis now,
                   const SubmissionId& job,
                   const JobOutcome& outcome,
                   Actions& actions);

/** Takes the end of a job from its scheduler. One that was asked to hand it
 * over may have completed it before.
 */
void HandleReport(FleetNode& node,
                  Millis now,
                  const DaemonRef& from,
                  const JobReport& report,
                  Actions& actions);

/** Answers everyone who waits for a job that is given up, and has it stopped.
 */
void GiveUpJob(FleetNode& node,
               Millis now,
               const SubmissionId& job,
               const char* reason,
               Actions& actions);

/** Passes on what the own scheduler has finished. */
void ReportFinished(FleetNode& node, Millis now, Actions& actions);

/** Takes a peer's submission. One that was held up on its way is not started:
 * its caller has its answer, or has sent the job again.
 */
void TakeSubmission(FleetNode& node,
                    Millis now,
                    const DaemonRef& from,
                    const JobSubmission& submission,
                    Actions& actions);

/** Gives a job to the own scheduler. */
void ScheduleHere(FleetNode& node,
                  Millis now,
                  const DaemonRef& receiver,
                  const JobSubmission& submission,
                  Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_RECEPTION_FLOW_H_
