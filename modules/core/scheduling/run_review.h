#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_REVIEW_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_REVIEW_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Stops runs that take far longer than expected, so that their tasks can run
 * elsewhere.
 *
 * Handles endpoints that hang or have become slow but still answer. Runs of a
 * job that is larger than expected are slow on every endpoint and are not
 * stopped.
 */
void StopOverdueRuns(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     Millis now,
                     Actions& actions);

/** Abandons jobs that cannot be completed before their callers stop waiting.
 *
 * This matters when jobs are larger than declared: the resources go to jobs
 * that can still be completed, and the caller is notified at once.
 */
void EndInfeasibleJobs(Scheduler& scheduler, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_REVIEW_H_
