#include "model/configuration.h"

namespace dogwoodfall {

const PlanLimits* FindLimits(const Configuration& configuration,
                             const CustomerId& customer) {
  const auto entry = configuration.customers.find(customer);
  if (entry == configuration.customers.end())
    return nullptr;
  const auto plan = configuration.plans.find(entry->second);
  return plan == configuration.plans.end() ? nullptr : &plan->second;
}

bool MayUse(const PlanLimits& limits, const EndpointId& endpoint) {
  for (const std::string& pattern : limits.endpoints) {
    if (!pattern.empty() && pattern.back() == '*') {
      const size_t length = pattern.size() - 1;
      if (endpoint.value.compare(0, length, pattern, 0, length) == 0)
        return true;
    } else if (pattern == endpoint.value) {
      return true;
    }
  }
  return false;
}

}  // namespace dogwoodfall
