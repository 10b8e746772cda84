#ifndef DOGWOODFALL_MODULES_CORE_DISPATCH_QUEUED_TASK_H_
#define DOGWOODFALL_MODULES_CORE_DISPATCH_QUEUED_TASK_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"
#include "core/ledger/submission_id.h"
#include "model/daemon_ref.h"
#include "model/task_spec.h"
#include "model/waste.h"

namespace dogwoodfall {

/** Key of a task that is unique across submissions. */
struct TaskKey {
  SubmissionKey submission;
  TaskId task;

  friend bool operator<(const TaskKey& a, const TaskKey& b) {
    return std::tie(a.submission, a.task) < std::tie(b.submission, b.task);
  }
};

/** A task that waits for an endpoint slot or occupies one. */
struct QueuedTask {
  SubmissionId submission;
  CustomerId customer;
  TaskSpec task;
  /** The incarnation that receives the report. */
  DaemonRef home;
  Attempt first_attempt{1};
  /** Attempt number of the next start. */
  Attempt next_attempt{1};
  Millis deadline;
  /** Expected run time of its job's unfinished tasks; jobs with less start
   * first.
   */
  Millis remaining_work;
  Millis expected_run_time;
  Millis queued_at;
  Waste waste;
};

TaskKey KeyOf(const QueuedTask& task);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DISPATCH_QUEUED_TASK_H_
