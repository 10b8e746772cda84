#ifndef DOGWOODFALL_MODULES_MODEL_CONFIGURATION_H_
#define DOGWOODFALL_MODULES_MODEL_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"

namespace dogwoodfall {

/** What one plan may use; an entry of the operators' second list. */
struct PlanLimits {
  /** Share of the endpoints relative to other plans under load. */
  uint32_t weight = 1;
  /** Tasks running at the same time, over all daemons. */
  uint32_t tasks_at_once = 1;
  /** Task starts a second, over all daemons. */
  uint32_t starts_per_second = 1;
  /** Tasks waiting, over all daemons. */
  uint32_t queued_tasks = 1;
  /** Ids of endpoints it may use, each a name or a prefix that ends in '*'. */
  std::vector<std::string> endpoints;
};

/** The operators' two lists at one revision. */
struct Configuration {
  /** Counts upwards from 1 with each accepted change; 0 is none. */
  uint64_t revision = 0;
  /** First list: which plan each customer has. */
  std::map<CustomerId, PlanId> customers;
  /** Second list: what each plan may use. */
  std::map<PlanId, PlanLimits> plans;
};

/** The limits of a customer's plan, or null for an unknown customer. */
const PlanLimits* FindLimits(const Configuration& configuration,
                             const CustomerId& customer);

/** True when the plan may use the endpoint. */
bool MayUse(const PlanLimits& limits, const EndpointId& endpoint);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_CONFIGURATION_H_
