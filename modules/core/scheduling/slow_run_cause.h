#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SLOW_RUN_CAUSE_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SLOW_RUN_CAUSE_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Minimum percentage of the work of a run that shows its speed. Progress is
 * reported in whole percent, so that its error is a tenth at most from here on,
 * which is little beside the factors by which long jobs and slow endpoints
 * differ from others.
 */
inline constexpr int kMinSpeedPercent = 5;

/** Returns the least total run time, in ms, that agrees with the progress of a
 * run, which is reported in whole percent. 0 while it has not made any: the run
 * may stand still.
 */
double ProjectMinRunTime(const Run& run);

/** Returns true when a run takes longer than expected because its job is long,
 * so that a new start on another endpoint would take as long.
 *
 * Answers a load of which a few jobs take many times as long as the others of
 * their route. The evidence is, in this order: the other tasks of the job, the
 * other runs on the endpoint, and the share of such long jobs on the route
 * compared to that of slow endpoints.
 *
 * @param projected_ms projected run time of the run on its endpoint
 */
bool IsLongJob(const Scheduler& scheduler,
               const ManagedEndpoint& endpoint,
               const RunKey& key,
               double projected_ms);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SLOW_RUN_CAUSE_H_
