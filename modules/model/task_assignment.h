#ifndef DOGWOODFALL_MODULES_MODEL_TASK_ASSIGNMENT_H_
#define DOGWOODFALL_MODULES_MODEL_TASK_ASSIGNMENT_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"
#include "model/task_spec.h"

namespace dogwoodfall {

/** A task that its home assigns to the daemon that has to start it. */
struct TaskAssignment {
  SubmissionId submission;
  CustomerId customer;
  TaskSpec task;
  /** First attempt number that the receiver may use; it counts upwards from
   * there.
   */
  Attempt first_attempt;
  /** Time until the submission's deadline. */
  Millis time_left;
  /** Remaining run time of the job, as estimated by the home. */
  Millis remaining_work;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_TASK_ASSIGNMENT_H_
