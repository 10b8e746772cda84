#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULER_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULER_H_

/** @file
 * Module scheduling: starts the tasks of transient jobs on the endpoints that
 * this daemon owns, keeps their leases, and notices what has become of them.
 *
 * job_order.h says who goes first, placement.h where a task runs, admission.h
 * what is refused, spill.h what another group had better run,
 * endpoint_ejection.h which endpoints are not trusted; job_flow.h takes jobs
 * and ends them. endpoint_flow.h takes endpoints over and reviews them,
 * endpoint_orders.h gives them orders, endpoint_replies.h takes the answers,
 * endpoint_runs.h keeps what runs there.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/dispatch/run_times.h"
#include "core/scheduling/job_order_key.h"
#include "core/scheduling/managed_endpoint.h"
#include "core/scheduling/scheduled_job.h"
#include "core/scheduling/scheduling_counters.h"
#include "model/peer_message.h"
#include "ports/action.h"

namespace dogwoodfall {

/** An order that is not answered. */
struct OpenOrder {
  EndpointId endpoint;
  /** Token it was given under; answers to an older one say nothing. */
  uint64_t fencing_token = 0;
  Millis sent;
  /** The run of a start or a stop. */
  RunKey run;
  enum class Kind : uint8_t { kStart, kStop, kRenew } kind = Kind::kRenew;
};

/** Progress of a job that came before the job. */
struct EarlyProgress {
  JobProgress progress;
  Millis received_at;
};

/** A job that ended here or was passed on, for its receiver. */
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
  /** Set when the job did not end and another daemon should get it. */
  std::optional<JobRedirect> redirect;
};

/** State of a daemon as a scheduler. */
struct Scheduler {
  std::map<EndpointId, ManagedEndpoint> endpoints;
  std::unordered_map<SubmissionId, ScheduledJob> jobs;
  /** Jobs with tasks that wait. */
  std::set<JobOrderKey> queue;
  std::unordered_map<CommandId, OpenOrder> orders;
  uint64_t last_order = 0;
  /** Run times learned by route. */
  RunTimes run_times;
  /** Slowness of the fast endpoints. */
  double fast_slowness = 1;
  /** Slowness of the endpoint in the middle. */
  double usual_slowness = 1;
  /** Processor room of the usual task, learned from the jobs that came. */
  double usual_task_millicores = 0;
  /** Share of all room that is in use. */
  double load = 0;
  Millis speeds_reviewed;
  /** What former schedulers told of jobs that have not come yet. */
  std::unordered_map<SubmissionId, EarlyProgress> early_progress;
  /** Jobs that ended since the caller of the scheduler last looked. */
  std::vector<FinishedJob> finished;
  SchedulingCounters counters;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULER_H_
