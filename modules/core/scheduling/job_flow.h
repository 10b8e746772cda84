#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_FLOW_H_

#include <optional>
#include <string>

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Accepts a job, or rejects it as decided by DecideAdmission(). For a job that
 * is already known the receiver is added, and the result goes to all of its
 * receivers. A job that ended shortly before is not run again; its result is
 * sent to the receiver. A job with a task that was given up fails. Its lease
 * runs from the time at which the submission was sent, which is expected on
 * this daemon's clock.
 */
void AcceptJob(Scheduler& scheduler,
               const DaemonRef& receiver,
               const EndpointGroup& group,
               const JobSubmission& submission,
               Millis now,
               Actions& actions);

/** Applies the progress that a previous scheduler of a job has sent. Progress
 * that arrives before its job is kept for a while.
 *
 * @param fencing_token token for endpoints that are not known here yet
 */
void ApplyJobProgress(Scheduler& scheduler,
                      const JobProgress& progress,
                      uint64_t fencing_token,
                      Millis now,
                      Actions& actions);

/** Returns the progress of a job, to be sent to its next scheduler. */
JobProgress MakeJobProgress(const Scheduler& scheduler,
                            const ScheduledJob& job,
                            Millis now);

/** Removes a job from the scheduler without stopping its runs.
 * @return none when the job is not known
 */
std::optional<ScheduledJob> RemoveJob(Scheduler& scheduler,
                                      const SubmissionId& id);

/** Records that a task of a job is started now. */
void RecordStart(Scheduler& scheduler,
                 ScheduledJob& job,
                 Millis now,
                 Actions& actions);

/** Assigns a run that was found on an endpoint to its task.
 * @return false when no queued task of this daemon matches the run
 */
bool ClaimRun(Scheduler& scheduler,
              ManagedEndpoint& endpoint,
              const RunKey& key);

/** Removes a receiver whose callers no longer wait for a job. When it was the
 * last receiver, the job is abandoned and no result is sent. When the job is
 * not known, as after a handover, only its runs are stopped.
 */
void CancelJob(Scheduler& scheduler,
               const SubmissionId& id,
               const DaemonRef& receiver,
               const std::string& reason,
               Millis now,
               Actions& actions);

/** Stops the runs of a job that is not known here, as after a handover. */
void StopLeftRuns(Scheduler& scheduler,
                  const SubmissionId& id,
                  const std::string& reason,
                  Millis now,
                  Actions& actions);

/** Ends a job: stops its runs and adds its result to Scheduler::finished for
 * each receiver.
 */
void EndJob(Scheduler& scheduler,
            const SubmissionId& id,
            const JobOutcome& outcome,
            Millis now,
            Actions& actions);

/** Starts queued tasks on endpoints with free capacity, in queue order. */
void PlaceTasks(Scheduler& scheduler, Millis now, Actions& actions);

/** Performs the periodic work on jobs: updates the queue order, ends jobs that
 * can no longer be completed in time, which fit no endpoint any more or whose
 * deadline has passed, and removes records that are no longer needed.
 */
void ReviewQueue(Scheduler& scheduler, Millis now, Actions& actions);

/** Records that a task has succeeded, and completes the job with its last task.
 * A run of the task that is still active is stopped: it may belong to another
 * submission of the same job than the run that succeeded.
 *
 * @param run_time zero when it is not known
 */
void RecordTaskSuccess(Scheduler& scheduler,
                       const JobTask& task,
                       Millis run_time,
                       Millis now,
                       Actions& actions);

/** Records that a run failed, whether because of the task or the endpoint. Ends
 * the job when the task has used all of its attempts.
 */
void RecordTaskFailure(Scheduler& scheduler,
                       const JobTask& task,
                       Millis now,
                       Actions& actions);

/** Returns true when a run on an endpoint is the latest run of its task. The
 * attempt alone does not identify a run, because the attempts of a job that is
 * submitted again count from 1 again. An endpoint never executes an attempt of
 * a task twice.
 */
bool IsCurrentRun(Scheduler& scheduler,
                  const EndpointId& endpoint,
                  const RunKey& run);

/** Puts a task back into the queue whose run on an endpoint has ended without
 * success. Does nothing when it was not the task's current run.
 */
void RequeueTask(Scheduler& scheduler,
                 const EndpointId& endpoint,
                 const RunKey& run,
                 Millis now);

/** Lets the reported runs on an endpoint count as active for another lease.
 * Called when the endpoint can no longer be reconciled here, as its next owner
 * may renew their lease until it has listed them.
 */
void ExtendReportedRuns(Scheduler& scheduler,
                        const EndpointId& endpoint,
                        Millis now);

/** Removes the reports of runs on an endpoint that a list requested at the
 * given time has confirmed or disproved. Runs that an earlier incarnation of
 * the endpoint had count as lost with it, which may end their jobs.
 */
void RemoveListedReports(Scheduler& scheduler,
                         const ManagedEndpoint& endpoint,
                         Millis listed_at,
                         Millis now,
                         Actions& actions);

/** Requeues a task whose run may still be active on an endpoint that is no
 * longer managed here. Its job starts nothing until the run's lease has
 * expired. When the job is not known, as after a handover, the run is kept as
 * early progress for its return.
 */
void RequeueTaskAfterLease(Scheduler& scheduler,
                           const EndpointEntry& endpoint,
                           const RunKey& run,
                           Millis now);

/** Returns true while runs of a job may be active that are not known here. */
bool MayHaveUnknownRuns(const Scheduler& scheduler,
                        const ScheduledJob& job,
                        Millis now);

/** Returns the progress of a task, or null when the job is not known. */
TaskProgress* FindTask(Scheduler& scheduler, const JobTask& task);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_FLOW_H_
