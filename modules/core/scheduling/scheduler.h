#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULER_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULER_H_

/** @file
 * Module scheduling: starts the tasks of transient jobs on the endpoints that
 * this daemon owns, renews the leases of their runs and tracks their results.
 *
 * Jobs:
 * - job_flow.h accepts, starts and ends jobs
 * - admission.h rejects jobs that cannot be completed
 * - job_lease.h runs a job only as long as its receivers confirm it and the
 *   schedulers of its repeats know of it
 * - ended_jobs.h remembers jobs until their last runs have ended
 * - job_order.h orders the queue
 * - placement.h chooses the endpoint of a task
 * - spillover.h chooses another group for a job
 * - run_review.h stops overdue runs and ends infeasible jobs
 * - run_relocation.h moves runs that would end too late to faster endpoints
 * - speed_learning.h estimates run times and the speeds of endpoints
 * - crash_tracking.h gives up tasks that crash their endpoints
 *
 * Endpoints:
 * - endpoint_flow.h takes ownership of endpoints and reviews them
 * - endpoint_commands.h sends commands to endpoints
 * - endpoint_replies.h handles their replies
 * - endpoint_runs.h keeps the status and the runs of an endpoint
 * - endpoint_ejection.h ejects endpoints whose runs keep failing
 */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/dispatch/run_times.h"
#include "core/scheduling/crash_record.h"
#include "core/scheduling/ended_job.h"
#include "core/scheduling/endpoint_loss.h"
#include "core/scheduling/job_lease_ends.h"
#include "core/scheduling/job_order_key.h"
#include "core/scheduling/managed_endpoint.h"
#include "core/scheduling/scheduled_job.h"
#include "core/scheduling/scheduling_counters.h"
#include "core/scheduling/scheduling_options.h"
#include "model/peer_message.h"
#include "ports/action.h"

namespace dogwoodfall {

/** A command that has not been answered yet. */
struct PendingCommand {
  EndpointId endpoint;
  /** Fencing token of the command. Replies to a command with an older token
   * than the endpoint's current one are ignored.
   */
  uint64_t fencing_token = 0;
  Millis sent_at;
  /** The run that a start or stop refers to. */
  RunKey run;
  enum class Kind : uint8_t { kStart, kStop, kRenew } kind = Kind::kRenew;
};

/** Progress of a job that was received before the job itself. */
struct EarlyProgress {
  JobProgress progress;
  Millis received_at;
};

/** The result or the redirect of a job that has ended here or was forwarded, to
 * be sent to its receiver.
 */
struct FinishedJob {
  static FinishedJob Ended(const DaemonRef& receiver,
                           const SubmissionId& job,
                           const JobOutcome& outcome) {
    FinishedJob finished;
    finished.receiver = receiver;
    finished.job = job;
    finished.outcome = outcome;
    return finished;
  }

  static FinishedJob Forwarded(const DaemonRef& receiver,
                               const JobRedirect& redirect) {
    FinishedJob finished;
    finished.receiver = receiver;
    finished.job = redirect.job;
    finished.redirect = redirect;
    return finished;
  }

  DaemonRef receiver;
  SubmissionId job;
  JobOutcome outcome;
  /** Set when the job has not ended and another daemon should get it. */
  std::optional<JobRedirect> redirect;
};

/** The final result of a job, kept for callers that send the job again because
 * they have not received it.
 */
struct RetainedResult {
  JobOutcome outcome;
  Millis ended_at;
};

/** What an endpoint has had room for, whether or not this daemon owns it. */
struct EndpointHistory {
  /** Its latest entry, but with the largest capacity that it has reported in
   * each dimension.
   */
  EndpointEntry largest_entry;
  /** When its entry was removed from the store; zero while it is listed. */
  Millis removed_at;
};

/** The scheduling state of a daemon. */
struct Scheduler {
  SchedulingOptions options;
  std::map<EndpointId, ManagedEndpoint> endpoints;
  /** Endpoints that are listed in the store, or were until recently. */
  std::map<EndpointId, EndpointHistory> endpoint_history;
  /** False until the endpoints have been read from the store for the first time
   * since this daemon may own some. Jobs are not refused for a lack of
   * endpoints until then.
   */
  bool are_endpoints_known = false;
  /** Zones whose endpoints get no starts. */
  std::set<ZoneId> evacuated_zones;
  /** False while it is not known which zones are evacuated. Nothing is started
   * until then.
   */
  bool are_evacuations_known = true;
  std::unordered_map<SubmissionId, ScheduledJob> jobs;
  /** When the lease of each job ends; also of jobs that have ended or were
   * handed over, whose runs may still be managed here.
   */
  std::unordered_map<SubmissionId, JobLeaseEnds> job_lease_ends;
  /** Jobs that have ended while runs of them may be active. */
  std::unordered_map<SubmissionId, EndedJob> ended_jobs;
  /** Jobs with queued tasks, in the order in which they are started. */
  std::set<JobOrderKey> queue;
  std::unordered_map<CommandId, PendingCommand> pending_commands;
  uint64_t last_command_id = 0;
  /** Learned run times by route. */
  RunTimes run_times;
  /** When a task of a route was last started or a job of it last ended. */
  std::unordered_map<std::string, Millis> routes_active_at;
  /** Slowness of the fast endpoints: the upper bound of the fastest eighth of
   * the usable endpoints.
   */
  double fast_slowness = 1;
  /** Median slowness of the usable endpoints. */
  double median_slowness = 1;
  /** Moving average of the processor share that a task requires. */
  double mean_task_millicores = 0;
  /** Share of the processors of all usable endpoints that is in use, 0 to 1. */
  double load = 0;
  Millis speeds_updated_at;
  /** Results of jobs that completed or failed shortly before. */
  std::unordered_map<SubmissionId, RetainedResult> retained_results;
  /** Progress of jobs that have not been received yet. */
  std::unordered_map<SubmissionId, EarlyProgress> early_progress;
  /** Tasks that may have crashed endpoints. */
  std::map<JobTask, CrashRecord> crash_records;
  /** Endpoints that were lost here shortly before. */
  std::vector<EndpointLoss> recent_losses;
  /** Jobs that are not completed, whose tasks may have crashed endpoints, and
   * that the other daemons have not been told about yet.
   */
  std::set<SubmissionId> unannounced_losses;
  /** Endpoints that were removed from records here because they have answered
   * again, and that the other daemons have not been told about yet.
   */
  std::vector<EndpointIncarnation> unannounced_retractions;
  /** When this process went on after its latest pause. */
  Millis resumed_at;
  /** No run is started before this time. */
  Millis starts_blocked_until;
  /** Results and forwards that have not been sent to the receivers yet. */
  std::vector<FinishedJob> finished;
  SchedulingCounters counters;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULER_H_
