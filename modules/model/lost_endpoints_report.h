#ifndef DOGWOODFALL_MODULES_MODEL_LOST_ENDPOINTS_REPORT_H_
#define DOGWOODFALL_MODULES_MODEL_LOST_ENDPOINTS_REPORT_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "model/endpoint_incarnation.h"

namespace dogwoodfall {

/** The endpoints that were lost while they ran a task. */
struct TaskEndpointLosses {
  uint32_t step = 0;
  uint32_t index = 0;
  std::vector<EndpointIncarnation> endpoints;
  /** True while the task may not be started. */
  bool is_given_up = false;
};

/** The endpoints that were lost with tasks of a job, for a daemon that may
 * schedule the job later.
 */
struct LostEndpointsReport {
  SubmissionId job;
  std::vector<TaskEndpointLosses> tasks;
  /** Endpoints, of any job, that have answered again without a restart. */
  std::vector<EndpointIncarnation> answered_again;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_LOST_ENDPOINTS_REPORT_H_
