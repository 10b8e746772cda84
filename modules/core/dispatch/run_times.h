#ifndef DOGWOODFALL_MODULES_CORE_DISPATCH_RUN_TIMES_H_
#define DOGWOODFALL_MODULES_CORE_DISPATCH_RUN_TIMES_H_

#include <map>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/millis.h"
#include "model/task_spec.h"

namespace dogwoodfall {

/** Mean and spread of run times, as exponentially weighted averages. */
struct RunTimeEstimate {
  double mean_ms = 0;
  double deviation_ms = 0;
  uint32_t samples = 0;
};

/** Run times learned per customer and kind, on an endpoint of speed 1. */
struct RunTimes {
  std::map<std::pair<CustomerId, std::string>, RunTimeEstimate> by_kind;
};

/** Most kinds kept; beyond it new kinds are not learned. */
inline constexpr size_t kMaxLearnedKinds = 20'000;

/** Learns from a run.
 *
 * @param slowness run time on that endpoint over the mean of all endpoints
 */
void RecordRunTime(RunTimes& times,
                   const CustomerId& customer,
                   const std::string& kind,
                   Millis run_time,
                   double slowness);

/** The run time to expect: learned, or as declared for an unknown kind. */
Millis ExpectedRunTime(const RunTimes& times,
                       const CustomerId& customer,
                       const TaskSpec& task);

/** What was learned of a kind, or null. */
const RunTimeEstimate* FindRunTimeEstimate(const RunTimes& times,
                                           const CustomerId& customer,
                                           const std::string& kind);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DISPATCH_RUN_TIMES_H_
