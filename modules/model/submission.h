#ifndef DOGWOODFALL_MODULES_MODEL_SUBMISSION_H_
#define DOGWOODFALL_MODULES_MODEL_SUBMISSION_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/task_spec.h"

namespace dogwoodfall {

/** A job or a single request under one id. */
struct Submission {
  SubmissionId id;
  CustomerId customer;
  /** Time from the arrival to the deadline. */
  Millis time_allowed;
  /** True for a single request. An idempotent single request may be started
   * again after its endpoint was lost; a task of a job never is.
   */
  bool single_request = false;
  std::vector<TaskSpec> tasks;
};

/** Returns a hash of the fields that define the work of a submission. Two
 * submissions with the same hash count as the same work.
 */
uint64_t FingerprintOf(const Submission& submission);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_SUBMISSION_H_
