#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_H_

#include <optional>

#include "base/millis.h"
#include "core/scheduling/scheduled_job.h"
#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Returns the time by which a job has to start to be of use to its caller, if
 * its tasks take less time than expected.
 */
Millis ComputeLatestUsefulStart(const Scheduler& scheduler,
                                const ScheduledJob& job);

/** Minimum probability of being in time for a job to be accepted and for a task
 * to be started, where the distribution of run times is known.
 */
inline constexpr double kMinChance = 0.05;

/** Decides whether to accept a new job.
 *
 * @return the outcome to report when the job is rejected; none when it is
 *         accepted
 */
std::optional<JobOutcome> DecideAdmission(const Scheduler& scheduler,
                                          const ScheduledJob& job,
                                          Millis now);

/** Decides whether to keep a job that waits in the queue.
 *
 * @return the outcome to report when the job is rejected; none while it can
 *         still be completed in time
 */
std::optional<JobOutcome> ReviewWaitingJob(const Scheduler& scheduler,
                                           const ScheduledJob& job,
                                           Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_H_
