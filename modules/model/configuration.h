#ifndef DOGWOODFALL_MODULES_MODEL_CONFIGURATION_H_
#define DOGWOODFALL_MODULES_MODEL_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"

namespace dogwoodfall {

/** Limits of one plan. */
struct PlanLimits {
  /** Share of the endpoints under load, relative to other plans. */
  uint32_t weight = 1;
  /** Maximum number of tasks running at the same time, over all daemons. */
  uint32_t tasks_at_once = 1;
  /** Maximum number of task starts per second, over all daemons. */
  uint32_t starts_per_second = 1;
  /** Maximum number of queued tasks, over all daemons. */
  uint32_t queued_tasks = 1;
  /** Endpoints that it may use, each an id or a prefix followed by '*'. */
  std::vector<std::string> endpoints;
};

/** The operators' configuration at one revision. */
struct Configuration {
  /** Starts at 1 and increases with each accepted change; 0 means that there is
   * no configuration.
   */
  uint64_t revision = 0;
  /** Plan of each customer. */
  std::map<CustomerId, PlanId> customers;
  /** Limits of each plan. */
  std::map<PlanId, PlanLimits> plans;
};

/** Returns the limits of a customer's plan, or null for an unknown customer. */
const PlanLimits* FindLimits(const Configuration& configuration,
                             const CustomerId& customer);

/** Returns true if a plan with these limits may use the endpoint. */
bool MayUse(const PlanLimits& limits, const EndpointId& endpoint);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_CONFIGURATION_H_
