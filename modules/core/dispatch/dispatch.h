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

/** A task that was sent to an endpoint. */
struct RunningTask {
  QueuedTask task;
  EndpointId endpoint;
  Attempt attempt;
  Millis started_at;
  Millis lease_until;
  /** True once its home no longer wants it; it was sent one stop. */
  bool is_stop_requested = false;
};

/** Names a job at the daemon that runs some of its tasks. */
using HomeJobKey = std::pair<DaemonRef, SubmissionKey>;

/** Tasks of one job that are here, and reports that wait for the rest. */
struct RemoteJob {
  uint32_t open_tasks = 0;
  std::vector<TaskReport> reports;
  /** Bytes of outputs in the reports. */
  size_t report_bytes = 0;
};

/** The tasks this daemon starts, for itself and for other homes. */
struct Dispatch {
  FairQueue queue;
  EndpointPool pool;
  RunTimes run_times;
  std::map<LeaseId, RunningTask> running;
  std::map<TaskKey, LeaseId> running_index;
  std::map<CustomerId, uint32_t> running_by_customer;
  std::map<CustomerId, TokenBucket> start_buckets;
  /** Jobs of other homes. */
  std::map<HomeJobKey, RemoteJob> remote_jobs;
  uint64_t last_lease = 0;
};

/** Takes a running task out by its lease. The lease must be in use. */
RunningTask RemoveRunning(Dispatch& dispatch, const LeaseId& lease);

/** Adds a running task under a new lease, which is returned. */
LeaseId AddRunning(Dispatch& dispatch, RunningTask running);

/** Tasks of a customer that run here. */
uint32_t CountRunning(const Dispatch& dispatch, const CustomerId& customer);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DISPATCH_DISPATCH_H_
