#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_QUEUE_PACKING_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_QUEUE_PACKING_H_

#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Maximum number of queued tasks that one decision looks at. A model of 350
 * endpoints with a saturated queue uses 0.95 of the cores with 16 tasks and
 * 0.97 with 64.
 */
inline constexpr uint32_t kMaxPackedTasks = 64;

/** Returns the endpoints that accept work and have free capacity. */
std::vector<const ManagedEndpoint*> FindEndpointsWithRoom(
    const Scheduler& scheduler,
    Millis now);

/** Chooses the queued jobs whose tasks are placed now, in this order:
 * 1. jobs that need fast endpoints, which others would take
 * 2. urgent jobs, whose latest start is near; those that have started first,
 *    because all tasks of a job have to end for it to count, then the largest
 *    tasks first
 * 3. other jobs that can be in time, largest tasks first
 * 4. late jobs.
 * The size of a job's tasks counts up to twice as the job waits. Among equals,
 * those with the earlier latest start come first.
 *
 * This answers a long queue of tasks of about half an endpoint. In order of
 * latest start, small tasks leave remainders in which no other task fits, and
 * more jobs are begun than can be completed.
 *
 * Jobs of which no task fits the free capacity are left out, so that they
 * don't use up kMaxPackedTasks.
 */
std::vector<SubmissionId> ChooseJobsToPlace(
    const Scheduler& scheduler,
    const std::vector<const ManagedEndpoint*>& endpoints_with_room,
    Millis now);

/** Returns true when a queued task of a job fits the free capacity of an
 * endpoint that accepts work.
 */
bool FitsFreeCapacity(const std::vector<const ManagedEndpoint*>& endpoints,
                      const ScheduledJob& job);

/** Reserves capacity for the oldest urgent job of which no task fits now, on a
 * few endpoints where one is expected to fit by the job's latest start.
 * Replaces the reservations of the previous decision.
 *
 * This answers small tasks that take each part of an endpoint as it becomes
 * free, so that a larger task never fits.
 */
void ReserveCapacity(
    Scheduler& scheduler,
    const std::vector<const ManagedEndpoint*>& endpoints_with_room,
    Millis now,
    Actions& actions);

/** Returns true when a task of a job would take capacity that is reserved for
 * another job.
 */
bool IsReservedForOther(const Scheduler& scheduler,
                        const ManagedEndpoint& endpoint,
                        const SubmissionId& job,
                        const TaskResources& resources);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_QUEUE_PACKING_H_
