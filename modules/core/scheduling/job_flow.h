#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_FLOW_H_

#include <optional>
#include <string>

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Takes a job. One that is known already is joined: its end is told to all
 * receivers that sent it.
 */
void AcceptJob(Scheduler& scheduler,
               const DaemonRef& receiver,
               const EndpointGroup& group,
               const JobSubmission& submission,
               Millis now,
               Actions& actions);

/** Takes over what a former scheduler of a job knew of it.
 *
 * @param fencing_token for endpoints that are not known here
 */
void ApplyJobProgress(Scheduler& scheduler,
                      const JobProgress& progress,
                      uint64_t fencing_token,
                      Millis now,
                      Actions& actions);

/** What is known of a job, for its next scheduler. */
JobProgress MakeJobProgress(const Scheduler& scheduler,
                            const ScheduledJob& job,
                            Millis now);

/** Takes a job out of the scheduler without stopping it; none when it is not
 * known.
 */
std::optional<ScheduledJob> RemoveJob(Scheduler& scheduler,
                                      const SubmissionId& id);

/** Makes a run that was found on an endpoint part of its job.
 * @return false when no job of this daemon wants it
 */
bool ClaimRun(Scheduler& scheduler,
              ManagedEndpoint& endpoint,
              const RunKey& key);

/** Notes that a receiver's callers no longer wait for a job. When nobody else
 * does, it is stopped, and nobody is told.
 */
void CancelJob(Scheduler& scheduler,
               const SubmissionId& id,
               const DaemonRef& receiver,
               const std::string& reason,
               Millis now,
               Actions& actions);

/** Ends a job: stops what runs of it and notes its end for the receiver. */
void EndJob(Scheduler& scheduler,
            const SubmissionId& id,
            const JobOutcome& outcome,
            Millis now,
            Actions& actions);

/** Starts what fits, in the order of the queue. */
void PlaceTasks(Scheduler& scheduler, Millis now, Actions& actions);

/** Puts late jobs behind, and ends those that can't be served any more. */
void ReviewQueue(Scheduler& scheduler, Millis now, Actions& actions);

/** Notes that a task has ended well.
 *
 * @param run_time zero when it is not known
 */
void NoteTaskDone(Scheduler& scheduler,
                  const JobTask& task,
                  Millis run_time,
                  Millis now,
                  Actions& actions);

/** Notes that a run of a task failed by its own or the endpoint's fault. */
void NoteTaskFailed(Scheduler& scheduler,
                    const JobTask& task,
                    Millis now,
                    Actions& actions);

/** Puts a task whose run is gone back into the queue. */
void RequeueTask(Scheduler& scheduler, const RunKey& run, Millis now);

/** The same for a task whose run may go on where it can't be seen: its job
 * starts nothing until the run's lease is over.
 */
void RequeueUnseenTask(Scheduler& scheduler, const RunKey& run, Millis now);

/** The progress of a task, or null when the job is not known. */
TaskProgress* FindTask(Scheduler& scheduler, const JobTask& task);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_FLOW_H_
