#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_H_

#include <optional>

#include "base/millis.h"
#include "core/scheduling/scheduled_job.h"
#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Whether a job is refused on arrival; none when it is taken. */
std::optional<JobOutcome> AdmissionDecision(const Scheduler& scheduler,
                                            const ScheduledJob& job,
                                            Millis now);

/** Whether a waiting job is given up; none while it may still be served. */
std::optional<JobOutcome> ReviewDecision(const Scheduler& scheduler,
                                         const ScheduledJob& job,
                                         Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_H_
