#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_PLACEMENT_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_PLACEMENT_H_

#include "base/millis.h"
#include "core/scheduling/managed_endpoint.h"
#include "core/scheduling/scheduled_job.h"
#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** True when an endpoint gets work at present, whatever its room. */
bool TakesWork(const ManagedEndpoint& endpoint, Millis now);

/** True when an endpoint may ever run tasks of a step. */
bool CanEverRun(const EndpointEntry& endpoint,
                const TransientJob& job,
                const JobStep& step);

/** Chooses the endpoint for a queued task, or null when it had better wait.
 *
 * Answers load near the room there is, on endpoints of unlike size, speed and
 * soundness. While there is room, the task goes where it ends soonest; when
 * room gets short, fast endpoints are left to tasks that would miss the
 * caller's limit elsewhere. Among alike ones it fills the fullest, so that room
 * for wide tasks stays in one piece. A task that would miss its objective on
 * the slow endpoints that are free, but not on a fast one, waits for a fast one
 * as long as that can still be met.
 *
 * @param expected run time to expect on an endpoint of slowness 1
 */
ManagedEndpoint* ChooseEndpoint(Scheduler& scheduler,
                                const ScheduledJob& job,
                                uint32_t step,
                                const TaskProgress& task,
                                Millis expected,
                                Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_PLACEMENT_H_
