#include "core/dispatch/endpoint_pool.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace dogwoodfall {
namespace {

/** Weight of one new sample of an endpoint's speed. */
constexpr double kSlownessGain = 0.1;
constexpr double kLeastSlowness = 0.05;
constexpr double kMostSlowness = 50.0;
/** Doublings of the pause after which it grows no more. */
constexpr uint32_t kMostDoublings = 10;

uint32_t SlotsInService(const PooledEndpoint& endpoint, Millis now) {
  if (endpoint.member.leaving || endpoint.ejected_until > now)
    return 0;
  return endpoint.probing ? 1 : endpoint.member.slots;
}

bool HasRoom(const PooledEndpoint& endpoint, Millis now) {
  return endpoint.outstanding < SlotsInService(endpoint, now);
}

uint32_t CountEjected(const EndpointPool& pool, Millis now) {
  return static_cast<uint32_t>(std::count_if(
      pool.endpoints.begin(), pool.endpoints.end(),
      [now](const auto& entry) { return entry.second.ejected_until > now; }));
}

}  // namespace

void SetOwnedEndpoints(EndpointPool& pool,
                       const std::vector<EndpointMember>& owned) {
  std::set<EndpointId> kept;
  for (const EndpointMember& member : owned) {
    pool.endpoints[member.id].member = member;
    kept.insert(member.id);
  }
  for (auto entry = pool.endpoints.begin(); entry != pool.endpoints.end();) {
    if (kept.count(entry->first) > 0) {
      ++entry;
    } else if (entry->second.outstanding > 0) {
      entry->second.member.leaving = true;
      ++entry;
    } else {
      entry = pool.endpoints.erase(entry);
    }
  }
}

PooledEndpoint* ChooseEndpoint(EndpointPool& pool,
                               const PlanLimits& limits,
                               const TaskSpec& task,
                               Millis now) {
  PooledEndpoint* best = nullptr;
  for (auto& [id, endpoint] : pool.endpoints) {
    if (!HasRoom(endpoint, now) ||
        task.declared_memory_mb > endpoint.member.memory_mb ||
        !MayUse(limits, id))
      continue;
    if (best == nullptr || std::tie(endpoint.slowness, endpoint.outstanding) <
                               std::tie(best->slowness, best->outstanding))
      best = &endpoint;
  }
  return best;
}

uint32_t FreeSlots(const EndpointPool& pool, Millis now) {
  uint32_t free = 0;
  for (const auto& [id, endpoint] : pool.endpoints) {
    const uint32_t slots = SlotsInService(endpoint, now);
    free += slots > endpoint.outstanding ? slots - endpoint.outstanding : 0;
  }
  return free;
}

void RecordSuccess(PooledEndpoint& endpoint, Millis run_time, Millis expected) {
  endpoint.failures_in_row = 0;
  endpoint.ejections_in_row = 0;
  endpoint.probing = false;
  const double sample =
      static_cast<double>(run_time.count) /
      static_cast<double>(std::max<int64_t>(expected.count, 1));
  endpoint.slowness += kSlownessGain * (sample - endpoint.slowness);
  endpoint.slowness =
      std::clamp(endpoint.slowness, kLeastSlowness, kMostSlowness);
}

void RecordFailure(EndpointPool& pool,
                   PooledEndpoint& endpoint,
                   const EjectionLimits& limits,
                   Millis now) {
  ++endpoint.failures_in_row;
  const bool at_cap = size_t{CountEjected(pool, now)} * limits.most_one_in >=
                      pool.endpoints.size();
  if (endpoint.failures_in_row < limits.failures_in_row ||
      endpoint.ejected_until > now || at_cap)
    return;
  const uint32_t doublings =
      std::min(endpoint.ejections_in_row, kMostDoublings);
  const Millis pause{limits.initial_pause.count << doublings};
  endpoint.ejected_until = now + std::min(pause, limits.max_pause);
  endpoint.probing = true;
  ++endpoint.ejections_in_row;
}

}  // namespace dogwoodfall
