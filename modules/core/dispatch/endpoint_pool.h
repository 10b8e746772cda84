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

/** Limits of the ejection of failing endpoints. */
struct EjectionLimits {
  /** Consecutive failures after which an endpoint is ejected. */
  uint32_t failures_in_row = 3;
  /** Time out of service after the first ejection; doubles with each
   * consecutive one.
   */
  Millis initial_pause{500};
  Millis max_pause{30'000};
  /** Limits the endpoints that are ejected at a time to the size of the pool
   * divided by this number, rounded up.
   */
  uint32_t min_endpoints_per_ejection = 3;
};

/** An endpoint to whose slots this daemon dispatches tasks. */
struct PooledEndpoint {
  EndpointMember member;
  uint32_t outstanding = 0;
  /** Moving average of actual over expected run time. */
  double slowness = 1.0;
  uint32_t failures_in_row = 0;
  uint32_t ejections_in_row = 0;
  Millis ejected_until;
  /** True from an ejection until the next success. In this period only one task
   * runs at a time.
   */
  bool is_probing = false;
};

/** The endpoints to whose slots this daemon dispatches tasks. */
struct EndpointPool {
  std::map<EndpointId, PooledEndpoint> endpoints;
};

/** Replaces the endpoints of the pool by the owned ones. An endpoint that is no
 * longer owned stays, marked as leaving, while starts are outstanding. The
 * counters of an endpoint are kept if it remains, or if it is owned again while
 * it stays.
 */
void SetOwnedEndpoints(EndpointPool& pool,
                       const std::vector<EndpointMember>& owned);

/** Returns the fastest endpoint that has a free slot and enough memory for the
 * task and that the plan may use, or null when there is none.
 */
PooledEndpoint* ChooseEndpoint(EndpointPool& pool,
                               const PlanLimits& limits,
                               const TaskSpec& task,
                               Millis now);

/** Returns the number of free slots of all endpoints in service. */
uint32_t FreeSlots(const EndpointPool& pool, Millis now);

/** Resets the failure counts of an endpoint and updates its slowness. */
void RecordSuccess(PooledEndpoint& endpoint, Millis run_time, Millis expected);

/** Counts a failure and ejects the endpoint after too many consecutive ones. */
void RecordFailure(EndpointPool& pool,
                   PooledEndpoint& endpoint,
                   const EjectionLimits& limits,
                   Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DISPATCH_ENDPOINT_POOL_H_
