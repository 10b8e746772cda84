#ifndef DOGWOODFALL_MODULES_MODEL_TASK_REPORT_H_
#define DOGWOODFALL_MODULES_MODEL_TASK_REPORT_H_

#include "base/ids.h"
#include "model/task_outcome.h"
#include "model/waste.h"

namespace dogwoodfall {

/** Result of an assigned task, sent to its home. */
struct TaskReport {
  SubmissionId submission;
  CustomerId customer;
  /** State kNotStarted means that the home may assign the task again. */
  TaskOutcome outcome;
  /** Copy of TaskAssignment::first_attempt; identifies the assignment. */
  Attempt first_attempt;
  /** Highest attempt number used; first_attempt if none was started. */
  Attempt last_attempt;
  /** Waste since the assignment. */
  Waste waste;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_TASK_REPORT_H_
