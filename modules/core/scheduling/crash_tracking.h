#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_CRASH_TRACKING_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_CRASH_TRACKING_H_

#include <optional>
#include <string>
#include <vector>

#include "core/scheduling/scheduler.h"
#include "model/lost_endpoints_report.h"

namespace dogwoodfall {

/** Records that an endpoint was lost while it ran the given tasks. Gives up a
 * task that has crashed its endpoints, and ends its job: one that three
 * endpoints were lost with, or two when no other task lost with the second one
 * was suspected before, and the second one was not lost together with others of
 * its rack that ran no suspected job. Endpoints that are draining may leave
 * with their runs, so they do not count.
 */
void RecordEndpointLoss(Scheduler& scheduler,
                        const EndpointEntry& endpoint,
                        int64_t started_at_ms,
                        const std::vector<JobTask>& tasks,
                        Millis now,
                        Actions& actions);

/** Removes an endpoint from all records because it has answered again without a
 * restart, so no task has crashed it. Tasks that were given up because of it
 * may be started again, and the other daemons have to be told.
 */
void RetractEndpointLoss(Scheduler& scheduler,
                         const EndpointIncarnation& endpoint);

/** Returns true when an endpoint was lost while it ran the task. */
bool IsSuspect(const Scheduler& scheduler, const JobTask& task);

/** Returns true when an endpoint was lost while it ran a task of the job. */
bool HasSuspect(const Scheduler& scheduler, const SubmissionId& job);

/** Returns true while an endpoint runs a task that is suspected of crashing
 * endpoints.
 */
bool HasSuspectRun(const Scheduler& scheduler, const ManagedEndpoint& endpoint);

/** Returns true when a task of the job has been given up. */
bool HasGivenUpTask(const Scheduler& scheduler, const SubmissionId& job);

/** Keeps the records of a job that was sent again. Its tasks stay given up for
 * no longer.
 */
void RenewCrashRecords(Scheduler& scheduler,
                       const SubmissionId& job,
                       Millis now);

/** Returns the result of a job with a task that was given up. The loss of an
 * endpoint is no failure of the task, so the job is abandoned.
 */
JobOutcome MakeGivenUpOutcome();

/** Describes the tasks of a job that were given up and the endpoints that were
 * lost with them, for logs.
 */
std::string DescribeGivenUpTasks(const Scheduler& scheduler,
                                 const SubmissionId& job);

/** Returns what is recorded of a job; none when nothing is. */
std::optional<LostEndpointsReport> MakeLostEndpointsReport(
    const Scheduler& scheduler,
    const SubmissionId& job);

/** Adds what another daemon has recorded of a job. */
void ApplyLostEndpointsReport(Scheduler& scheduler,
                              const LostEndpointsReport& report,
                              Millis now,
                              Actions& actions);

/** Allows tasks to start again that were given up long enough ago, and removes
 * the records of tasks whose last endpoint was lost long ago.
 */
void RemoveExpiredCrashRecords(Scheduler& scheduler, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_CRASH_TRACKING_H_
