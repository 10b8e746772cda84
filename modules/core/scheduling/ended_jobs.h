#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDED_JOBS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDED_JOBS_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** @file
 * Jobs that have ended while runs of them may be active: stops take time,
 * starts may still be on their way, and runs on endpoints of other daemons end
 * with their leases only. A job that is sent again starts nothing before these
 * runs have ended, and is announced meanwhile, so that it is sent to this
 * daemon.
 */

/** Records a job that ends, unless none of its runs can be active. */
void RecordEndedJob(Scheduler& scheduler, const ScheduledJob& job, Millis now);

/** Records a job that is withdrawn and not scheduled here, as after a handover,
 * if runs of it may be active.
 */
void RecordWithdrawnJob(Scheduler& scheduler,
                        const SubmissionId& id,
                        Millis now);

/** Records that runs of a job may last until the given time which are not
 * managed here, and which its previous scheduler knew of.
 */
void RecordFormerRuns(Scheduler& scheduler,
                      const SubmissionId& id,
                      Millis runs_ended_at);

/** Records that runs on a released endpoint can't be listed here any more. */
void RecordReleasedRuns(Scheduler& scheduler, const ManagedEndpoint& endpoint);

/** Returns the time by which all runs of a job that has ended here have ended;
 * zero when none can be active.
 */
Millis GetFormerRunsEnd(const Scheduler& scheduler,
                        const SubmissionId& id,
                        Millis now);

/** Removes the records of jobs whose runs have ended. */
void ReviewEndedJobs(Scheduler& scheduler, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDED_JOBS_H_
