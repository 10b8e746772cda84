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
  /** Time from its arrival to its deadline. */
  Millis time_allowed;
  /** True for a single request: an idempotent one may be started again after
   * a lost endpoint. A task of a job never is.
   */
  bool single_request = false;
  std::vector<TaskSpec> tasks;
};

/** Hash of everything that makes two submissions the same work. */
uint64_t FingerprintOf(const Submission& submission);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_SUBMISSION_H_
