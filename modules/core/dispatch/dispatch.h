#ifndef DOGWOODFALL_MODULES_CORE_DISPATCH_DISPATCH_H_
#define DOGWOODFALL_MODULES_CORE_DISPATCH_DISPATCH_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/dispatch/endpoint_pool.h"
#include "core/dispatch/fair_queue.h"
#include "core/dispatch/queued_task.h"
#include "core/dispatch/run_times.h"
#include "core/limits/token_bucket.h"
#include "model/daemon_ref.h"
#include "model/task_report.h"

namespace dogwoodfall {

/** A task whose start was sent to an endpoint. */
struct RunningTask {
  QueuedTask task;
  EndpointId endpoint;
  Attempt attempt;
  Millis started_at;
  Millis lease_until;
  /** True once its home has cancelled it and a single stop was sent. */
  bool is_stop_requested = false;
};

/** Key of another home's job at a daemon that runs some of its tasks. */
using RemoteJobKey = std::pair<DaemonRef, SubmissionKey>;

/** State of another home's job: its open tasks at this daemon, and the reports
 * held back until these tasks have ended.
 */
struct RemoteJob {
  uint32_t open_tasks = 0;
  std::vector<TaskReport> reports;
  /** Total size of the outputs in the reports, in bytes. */
  size_t report_bytes = 0;
};

/** The tasks this daemon starts, as their home or for other homes. */
struct Dispatch {
  FairQueue queue;
  EndpointPool pool;
  RunTimes run_times;
  std::map<LeaseId, RunningTask> running;
  std::map<TaskKey, LeaseId> running_index;
  std::map<CustomerId, uint32_t> running_by_customer;
  std::map<CustomerId, TokenBucket> start_buckets;
  /** Jobs of other homes with tasks at this daemon. */
  std::map<RemoteJobKey, RemoteJob> remote_jobs;
  uint64_t last_lease = 0;
};

/** Removes and returns the running task of a lease. The lease must be in use.
 */
RunningTask RemoveRunning(Dispatch& dispatch, const LeaseId& lease);

/** Adds a running task and returns its new lease. */
LeaseId AddRunning(Dispatch& dispatch, RunningTask running);

/** Returns the number of a customer's tasks that this daemon runs. */
uint32_t CountRunning(const Dispatch& dispatch, const CustomerId& customer);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DISPATCH_DISPATCH_H_
