#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_FORECAST_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_FORECAST_H_

#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/scheduling/scheduled_job.h"
#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Chooses the queued jobs to refuse because they can't start in time.
 *
 * This answers a queue that is longer than can be served. Jobs that have passed
 * their latest start are placed behind all others, and those that arrive later
 * take the capacity; without the forecast they wait until they are too late,
 * and their callers learn of it last.
 *
 * A job is refused if the capacity that becomes free until its latest useful
 * start is clearly less than what others need until then: the jobs that are
 * kept before it and those that are expected to arrive. Jobs that can still
 * start by their latest start come first. Of the others, those are kept whose
 * zone, kind and size were served the smallest share of their demand in the
 * last seconds.
 *
 * The forecast errs on the side of keeping: runs are expected to end early. No
 * job is refused of which something may have run or whose tasks fit now, and
 * none while little is known: shortly after a pause of this process, while many
 * of the group's endpoints are reconciled or were shortly before, and for
 * routes with few samples. The latter endpoints count as free while they are
 * few.
 *
 * Takes time in proportion to the runs and to the queue; called periodically.
 */
std::vector<SubmissionId> ChooseJobsToRefuse(const Scheduler& scheduler,
                                             Millis now);

/** Returns how long the caller of a refused job should wait, in whole seconds
 * from 1 to 10: at least 1 s, plus a share, by a hash of the job's id, of the
 * time in which the queue drains. The share is smaller for jobs of high
 * priority, which have low numbers, and for those that have waited for long.
 */
Millis ComputeRetryAfter(const Scheduler& scheduler,
                         const ScheduledJob& job,
                         Millis now);

/** Records that a job was received, for ChooseJobsToRefuse(). */
void RecordDemand(Scheduler& scheduler, const ScheduledJob& job, Millis now);

/** Records that a job was completed, for ChooseJobsToRefuse(). */
void RecordService(Scheduler& scheduler, const ScheduledJob& job, Millis now);

/** Updates the moving average of the starts in a second. */
void UpdateDrainRate(Scheduler& scheduler, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_FORECAST_H_
