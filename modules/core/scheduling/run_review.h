#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_REVIEW_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_REVIEW_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Stops runs that take far longer than expected, so that their tasks can run
 * elsewhere.
 *
 * Answers endpoints that hang or have turned slow while they still answer. A
 * job that is large by itself is slow everywhere and is left alone.
 */
void StopOverdueRuns(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     Millis now,
                     Actions& actions);

/** Ends jobs that can't be done before their callers stop waiting.
 *
 * Answers load of jobs larger than declared: the room goes to jobs that can
 * still be served, and the caller learns at once.
 */
void EndHopelessJobs(Scheduler& scheduler, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_REVIEW_H_
