#ifndef DOGWOODFALL_MODULES_MODEL_TASK_ASSIGNMENT_H_
#define DOGWOODFALL_MODULES_MODEL_TASK_ASSIGNMENT_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"
#include "model/task_spec.h"

namespace dogwoodfall {

/** A task that its home passes to the daemon that is to start it. */
struct TaskAssignment {
  SubmissionId submission;
  CustomerId customer;
  TaskSpec task;
  /** First attempt number the receiver may use; it counts upwards from it. */
  Attempt first_attempt;
  /** Time left until the submission's deadline. */
  Millis time_left;
  /** Work of the job that is not done yet, as the home estimates it. */
  Millis remaining_work;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_TASK_ASSIGNMENT_H_
