#ifndef DOGWOODFALL_MODULES_CORE_DISPATCH_ENDPOINT_POOL_H_
#define DOGWOODFALL_MODULES_CORE_DISPATCH_ENDPOINT_POOL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/configuration.h"
#include "model/endpoint_member.h"
#include "model/task_spec.h"

namespace dogwoodfall {

/** Bounds of ejecting endpoints that fail. */
struct EjectionLimits {
  /** Failures in a row after which an endpoint is ejected. */
  uint32_t failures_in_row = 3;
  /** Time out of service after the first ejection; doubles with each. */
  Millis initial_pause{500};
  Millis max_pause{30'000};
  /** At most one endpoint in this many is out of service. */
  uint32_t most_one_in = 3;
};

/** An endpoint whose slots this daemon fills. */
struct PooledEndpoint {
  EndpointMember member;
  uint32_t outstanding = 0;
  /** Run time here over the expected one. */
  double slowness = 1.0;
  uint32_t failures_in_row = 0;
  uint32_t ejections_in_row = 0;
  Millis ejected_until;
  /** True from an ejection until the next success: one start at a time. */
  bool probing = false;
};

/** The endpoints whose slots this daemon fills. */
struct EndpointPool {
  std::map<EndpointId, PooledEndpoint> endpoints;
};

/** Makes the pool hold exactly the owned endpoints. Counts of endpoints that
 * stay, or that come back while starts are out, are kept.
 */
void SetOwnedEndpoints(EndpointPool& pool,
                       const std::vector<EndpointMember>& owned);

/** The best endpoint with a free slot for a task, or null.
 *
 * Best is the fastest that the plan may use and that the task fits.
 */
PooledEndpoint* ChooseEndpoint(EndpointPool& pool,
                               const PlanLimits& limits,
                               const TaskSpec& task,
                               Millis now);

/** Slots free over all endpoints in service. */
uint32_t FreeSlots(const EndpointPool& pool, Millis now);

/** Counts a success and learns the endpoint's speed. */
void RecordSuccess(PooledEndpoint& endpoint, Millis run_time, Millis expected);

/** Counts a failure and ejects the endpoint when there were too many. */
void RecordFailure(EndpointPool& pool,
                   PooledEndpoint& endpoint,
                   const EjectionLimits& limits,
                   Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DISPATCH_ENDPOINT_POOL_H_
