#include "core/dispatch/dispatch.h"

#include <cassert>
#include <utility>

namespace dogwoodfall {

RunningTask RemoveRunning(Dispatch& dispatch, const LeaseId& lease) {
  const auto found = dispatch.running.find(lease);
  assert(found != dispatch.running.end());
  RunningTask running = std::move(found->second);
  dispatch.running.erase(found);
  const auto indexed = dispatch.running_index.find(KeyOf(running.task));
  if (indexed != dispatch.running_index.end() && indexed->second == lease)
    dispatch.running_index.erase(indexed);
  --dispatch.running_by_customer[running.task.customer];
  const auto endpoint = dispatch.pool.endpoints.find(running.endpoint);
  if (endpoint != dispatch.pool.endpoints.end() &&
      endpoint->second.outstanding > 0)
    --endpoint->second.outstanding;
  return running;
}

LeaseId AddRunning(Dispatch& dispatch, RunningTask running) {
  const LeaseId lease(++dispatch.last_lease);
  dispatch.running_index[KeyOf(running.task)] = lease;
  ++dispatch.running_by_customer[running.task.customer];
  ++dispatch.pool.endpoints[running.endpoint].outstanding;
  dispatch.running.emplace(lease, std::move(running));
  return lease;
}

uint32_t CountRunning(const Dispatch& dispatch, const CustomerId& customer) {
  const auto found = dispatch.running_by_customer.find(customer);
  return found == dispatch.running_by_customer.end() ? 0 : found->second;
}

}  // namespace dogwoodfall
