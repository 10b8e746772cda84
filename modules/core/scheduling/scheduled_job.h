#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULED_JOB_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULED_JOB_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/scheduling/job_order_key.h"
#include "model/daemon_ref.h"
#include "model/endpoint_group.h"
#include "model/peer_message.h"
#include "model/transient_job.h"

namespace dogwoodfall {

/** Where a task of a scheduled job stands. */
enum class TaskPhase : uint8_t {
  /** Earlier steps have not ended. */
  kBlocked = 0,
  kQueued = 1,
  /** A run of it is on an endpoint, or may be. */
  kPlaced = 2,
  kDone = 3,
};

/** Progress of one task. */
struct TaskProgress {
  TaskPhase phase = TaskPhase::kBlocked;
  /** Number of its latest run. */
  uint32_t attempt = 0;
  uint32_t failures = 0;
  /** How long the run took that ended well. */
  Millis run_time;
  /** Where the latest run is or was. */
  EndpointId endpoint;
};

/** A job that a scheduler has taken. */
struct ScheduledJob {
  TransientJob job;
  /** Where all of its tasks run. */
  EndpointGroup group;
  /** Who is told of its end. */
  DaemonRef receiver;
  /** Others that have sent it as well. */
  std::vector<DaemonRef> other_receivers;
  /** When the receiver got it, on this daemon's clock. */
  Millis received;
  /** Answers that come later miss the objective. */
  Millis objective_at;
  /** Its last task has to start by then to meet the objective. */
  Millis latest_start;
  /** The caller stops waiting. */
  Millis caller_deadline;
  /** True when another daemon may have started some of it: nothing starts
   * until all endpoints taken over have been looked at.
   */
  bool may_have_started = false;
  /** Nothing starts before, as runs may go on that can't be seen from here:
   * word from its former scheduler is waited for, or the end of their leases.
   */
  Millis waits_until;
  /** Runs that a former scheduler told of. Those that were not found yet are
   * passed on when the job changes hands again before they are.
   */
  std::vector<ActiveRun> told_runs;

  /** True once any run of it failed. */
  bool has_failed_run = false;
  /** True once any run of it was ordered or found. */
  bool has_started = false;
  /** Where it stands in the queue; the key it was inserted under. */
  JobOrderKey order_key;
  /** Tasks by step and index. */
  std::vector<std::vector<TaskProgress>> tasks;
  uint32_t tasks_left = 0;
  uint32_t tasks_queued = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULED_JOB_H_
