#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_ORDER_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_ORDER_H_

#include "base/millis.h"
#include "core/dispatch/run_times.h"
#include "core/scheduling/job_order_key.h"
#include "core/scheduling/scheduled_job.h"

namespace dogwoodfall {

/** Estimates the run time of a step's tasks on an endpoint of slowness 1, from
 * the learned run times of the route and the run time declared by the caller.
 */
Millis EstimateTaskRunTime(const RunTimes& times,
                           const TransientJob& job,
                           const JobStep& step);

/** Returns the expected run time of the slowest of a step's tasks, relative to
 * a typical task.
 */
double SlowestTaskFactor(uint32_t tasks);

/** Estimates the run time of a job: its critical path through the steps, on
 * endpoints of slowness 1.
 */
Millis EstimateJobRunTime(const RunTimes& times, const TransientJob& job);

/** Predicts the run times of a job from the distribution of its route. Once for
 * a job, as its queue is reviewed with each reply of an endpoint.
 */
void PredictRunTimes(ScheduledJob& job, const RunTimes& times);

/** Sets the receive time, the deadlines and the latest start of a job from its
 * age and the remaining time of its caller.
 *
 * @param fast_slowness slowness of the fast endpoints
 */
void SetJobDeadlines(ScheduledJob& job,
                     const RunTimes& times,
                     double fast_slowness,
                     Millis now);

/** Returns the queue key of a job. Jobs that can still meet their objective
 * come first, by increasing slack; jobs that are already late come after them.
 *
 * This matters under overload: a job that is already late must not make the
 * next one late too. Short jobs tolerate the least waiting and so go before
 * long ones, but cannot starve them, because slack shrinks with time.
 */
JobOrderKey MakeOrderKey(const ScheduledJob& job, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_ORDER_H_
