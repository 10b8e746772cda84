#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_EJECTION_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_EJECTION_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** @file
 * Ejects endpoints whose runs keep failing.
 *
 * An endpoint that fails its runs quickly always has free capacity. Without
 * ejection it would attract most of the load that the other endpoints cannot
 * take, and jobs would use up their attempts on it. An ejected endpoint gets no
 * work for the ejection duration, then one task at a time until a run succeeds.
 * The duration doubles while runs keep failing. The health that the endpoint
 * reports for itself is not used, because it may be wrong in both directions.
 */

/** Records that a run failed on an endpoint and ejects the endpoint if needed.
 *
 * Only the first failed run of a job counts, so that jobs that fail on every
 * endpoint do not eject healthy ones. On an ejected endpoint every failure
 * counts.
 */
void RecordFailedRun(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     const JobTask& task,
                     Millis now,
                     Actions& actions);

/** Records that a run succeeded on an endpoint; ends its ejection. */
void RecordSuccessfulRun(ManagedEndpoint& endpoint, Actions& actions);

/** Returns true when an endpoint may run a task as far as failures are
 * concerned. An ejected endpoint may run one task at a time, and none that has
 * failed before.
 */
bool IsEligibleFor(const ManagedEndpoint& endpoint, const TaskProgress& task);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_EJECTION_H_
