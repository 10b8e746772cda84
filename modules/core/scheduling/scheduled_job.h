#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULED_JOB_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULED_JOB_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/dispatch/run_time_distribution.h"
#include "core/scheduling/job_order_key.h"
#include "core/scheduling/run_sample.h"
#include "model/daemon_ref.h"
#include "model/endpoint_group.h"
#include "model/peer_message.h"
#include "model/transient_job.h"

namespace dogwoodfall {

/** Phase of a task of a scheduled job. */
enum class TaskPhase : uint8_t {
  /** Waits for earlier steps to end. */
  kBlocked = 0,
  kQueued = 1,
  /** A run of it is, or may be, active on an endpoint. */
  kPlaced = 2,
  kDone = 3,
};

/** Progress of one task. */
struct TaskProgress {
  TaskPhase phase = TaskPhase::kBlocked;
  /** Attempt number of the latest run. */
  uint32_t attempt = 0;
  uint32_t failures = 0;
  /** Endpoints that could not parse a start of it. */
  std::vector<EndpointId> rejected_by;
  /** Duration of the successful run; zero when not known. */
  Millis run_time;
  /** Endpoint of the latest run. */
  EndpointId endpoint;
};

/** A run that a previous scheduler has reported, or on an endpoint that was
 * released here, and that no list of its endpoint has confirmed or disproved
 * since.
 */
struct ReportedRun {
  ActiveRun run;
  Millis reported_at;
  /** Time by which the run has surely ended, as its lease is not renewed. */
  Millis active_until;
};

/** A job that a scheduler has accepted. */
struct ScheduledJob {
  TransientJob job;
  /** The endpoints that run all of its tasks. */
  EndpointGroup group;
  /** Daemon that gets the result. */
  DaemonRef receiver;
  /** Other daemons that have sent the same job and get the result too. */
  std::vector<DaemonRef> other_receivers;
  /** When the receiver got the job, on this daemon's clock. */
  Millis received_at;
  /** When the receiver sent its latest submission, on its clock. */
  Millis submission_sent_at;
  /** When this daemon accepted it. */
  Millis accepted_at;
  /** Answers after this time miss the job's objective. */
  Millis objective_deadline;
  /** Latest start of the job that still meets its objective: the deadline minus
   * its estimated run time on the fast endpoints.
   */
  Millis latest_start;
  /** Time at which the caller stops waiting. */
  Millis caller_deadline;
  /** Probabilities of its run times at slowness 1, by step, as known when it
   * was accepted. Empty if the distribution of its route was not known.
   */
  std::vector<RunTimeProbabilities> run_times;
  /** True when another daemon may have started some of it. Nothing is started
   * until all endpoints of the group have been reconciled.
   */
  bool may_have_started = false;
  /** Nothing is started before this time, because runs may be active that are
   * not known here. It is the timeout for the progress from the previous
   * scheduler.
   */
  Millis start_blocked_until;
  /** True once its group differs from one that a receiver has named. */
  bool has_changed_group = false;
  /** True once a previous scheduler has sent all that is known of it. */
  bool has_complete_progress = false;
  /** Nothing is started while one of these may be active. They are reported
   * again when the job is handed over once more.
   */
  std::vector<ReportedRun> reported_runs;

  /** True once another daemon was found to schedule it in another group. */
  bool is_scheduled_twice = false;
  /** True once any run of it failed. */
  bool has_failed_run = false;
  /** True once any run of it was sent, found or reported. */
  bool has_started = false;
  /** Key under which the job was last inserted into the queue. */
  JobOrderKey order_key;
  /** Tasks, by step and index. */
  std::vector<std::vector<TaskProgress>> tasks;
  uint32_t tasks_left = 0;
  uint32_t tasks_queued = 0;
  /** Its successful runs; empty unless interference is learned. */
  std::vector<RunSample> run_samples;
};

/** Returns when a job was received at the latest, from which its objective
 * counts: its request may have been held up until then.
 */
inline Millis ReceivedBy(const ScheduledJob& job) {
  return job.received_at + job.job.uncertain_age;
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULED_JOB_H_
