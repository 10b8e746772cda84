#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_PLACEMENT_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_PLACEMENT_H_

#include "base/millis.h"
#include "core/scheduling/managed_endpoint.h"
#include "core/scheduling/scheduled_job.h"
#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Returns true when nothing may be started on an endpoint because of an
 * evacuation of its zone, or because the evacuated zones are not known.
 */
bool IsClosedByEvacuation(const Scheduler& scheduler,
                          const ManagedEndpoint& endpoint);

/** Returns true when an endpoint may get work now, regardless of its free
 * capacity.
 */
bool AcceptsWork(const Scheduler& scheduler,
                 const ManagedEndpoint& endpoint,
                 Millis now);

/** Returns true when an endpoint without other runs could run tasks of a step.
 */
bool CanEverRun(const EndpointEntry& endpoint,
                const TransientJob& job,
                const JobStep& step);

/** Returns true when an endpoint could not parse a start of a task. */
bool HasRejected(const EndpointId& endpoint, const TaskProgress& task);

/** Returns true when an endpoint may start a task of a job now.
 *
 * @param planned_use resources that are about to be occupied there besides the
 *        runs
 */
bool MayRunNow(const Scheduler& scheduler,
               const ManagedEndpoint& endpoint,
               const ScheduledJob& job,
               uint32_t step_index,
               const TaskProgress& task,
               const TaskResources& planned_use,
               Millis now);

/** Returns true when queued tasks of a job would probably miss the caller's
 * deadline on a typical endpoint, but not on a fast one.
 */
bool NeedsFastEndpoints(const Scheduler& scheduler,
                        const ScheduledJob& job,
                        Millis now);

/** Chooses the endpoint for a queued task, or null when the task should wait.
 *
 * Designed for load close to capacity on endpoints of different size, speed and
 * reliability. At low load the task goes where it ends soonest. At high load
 * fast endpoints are reserved for tasks that would miss the caller's deadline
 * elsewhere. Among similar endpoints the fullest one is chosen, so that
 * capacity for large tasks is not fragmented. A task that would miss its
 * objective on the slow endpoints that are free, but not on a fast one, waits
 * for a fast one while the objective can still be met. A task that may have
 * crashed an endpoint runs apart from others like it, and from all other tasks
 * where there is room.
 *
 * @param expected_run_time expected run time on an endpoint of slowness 1
 */
ManagedEndpoint* ChooseEndpoint(Scheduler& scheduler,
                                const ScheduledJob& job,
                                uint32_t step_index,
                                uint32_t task_index,
                                Millis expected_run_time,
                                Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_PLACEMENT_H_
