#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_ORDER_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_ORDER_H_

#include "base/millis.h"
#include "core/dispatch/run_times.h"
#include "core/scheduling/job_order_key.h"
#include "core/scheduling/scheduled_job.h"

namespace dogwoodfall {

/** The run time to expect of a step's tasks on an endpoint of usual speed: what
 * the route's tasks took before, weighed with what the caller declared.
 */
Millis ExpectedTaskTime(const RunTimes& times,
                        const TransientJob& job,
                        const JobStep& step);

/** How much longer the last of a step's tasks takes than the usual one. */
double WidthFactor(uint32_t tasks);

/** The longest chain of steps, each at the run time to expect. */
Millis EstimateJobRunTime(const RunTimes& times, const TransientJob& job);

/** Works out when a job has to start and end, from its age on arrival.
 *
 * @param fastest_slowness run time on the fastest kind of instance over the
 *                         usual one
 */
void SetJobTimes(ScheduledJob& job,
                 const RunTimes& times,
                 double fastest_slowness,
                 Millis now);

/** Where a job stands in the queue: least slack first among those that can
 * still meet their objective, behind them those that can't.
 *
 * Answers load beyond the room: a job that is late already must not make the
 * next one late as well, and short jobs, which bear the least waiting, go
 * before long ones without ever starving them, as slack shrinks with time.
 */
JobOrderKey OrderKeyOf(const ScheduledJob& job, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_ORDER_H_
