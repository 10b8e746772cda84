#ifndef DOGWOODFALL_MODULES_CORE_FLEET_CANCELLATION_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_CANCELLATION_FLOW_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** @file
 * Callers' requests to cancel jobs. Each daemon that waits for the result of a
 * job can cancel it, and any daemon may be asked, so a request is forwarded to
 * all others.
 */

/** Cancels a job. The answer is an AnswerCancellation action: at once if the
 * job is pending here, else after the other daemons have answered.
 */
void CancelJobOfCaller(FleetNode& node,
                       Millis now,
                       CallerToken caller,
                       const SubmissionId& job,
                       Actions& actions);

/** Cancels a job for a caller of another daemon, and tells that daemon whether
 * the job was pending here.
 */
void HandleCancelForward(FleetNode& node,
                         Millis now,
                         const DaemonRef& from,
                         const CancelForward& request,
                         Actions& actions);

/** Handles the answer of another daemon to a forwarded request. */
void HandleCancelAnswer(FleetNode& node,
                        const DaemonRef& from,
                        const ForwardAnswer& answer,
                        Actions& actions);

/** Answers the requests that other daemons have not answered in time, and
 * forgets jobs that were cancelled long ago.
 */
void ReviewCancellations(FleetNode& node, Millis now, Actions& actions);

/** Returns true when a job was cancelled lately, so that it must not be started
 * again if its submission arrives once more.
 */
bool WasCancelled(const FleetNode& node, const SubmissionId& job);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_CANCELLATION_FLOW_H_
