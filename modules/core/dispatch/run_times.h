#ifndef DOGWOODFALL_MODULES_CORE_DISPATCH_RUN_TIMES_H_
#define DOGWOODFALL_MODULES_CORE_DISPATCH_RUN_TIMES_H_

#include <map>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/millis.h"
#include "core/dispatch/run_time_distribution.h"
#include "model/task_spec.h"

namespace dogwoodfall {

/** Mean and mean deviation of run times, as exponentially weighted averages. */
struct RunTimeEstimate {
  double mean_ms = 0;
  double deviation_ms = 0;
  uint32_t samples = 0;
};

/** Run time estimates by customer and kind, for an endpoint of slowness 1. */
struct RunTimes {
  std::map<std::pair<CustomerId, std::string>, RunTimeEstimate> by_kind;
  /** Only kept where SchedulingOptions::long_jobs is set; empty otherwise. */
  RunTimeDistributions distributions;
};

/** Maximum number of estimates. Further kinds are not recorded. */
inline constexpr size_t kMaxEstimatedKinds = 20'000;

/** Updates the estimate of a kind with the run time of one run.
 *
 * @param slowness run time on that endpoint over the mean of all endpoints
 */
void RecordRunTime(RunTimes& times,
                   const CustomerId& customer,
                   const std::string& kind,
                   Millis run_time,
                   double slowness);

/** Returns the estimated run time of a task, or the declared one while there
 * are too few samples of its kind.
 */
Millis EstimateRunTime(const RunTimes& times,
                       const CustomerId& customer,
                       const TaskSpec& task);

/** Returns the estimate of a kind, or null when there is none. */
const RunTimeEstimate* FindRunTimeEstimate(const RunTimes& times,
                                           const CustomerId& customer,
                                           const std::string& kind);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DISPATCH_RUN_TIMES_H_
