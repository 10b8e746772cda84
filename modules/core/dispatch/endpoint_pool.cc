#include "core/dispatch/endpoint_pool.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace dogwoodfall {
namespace {

/** Smoothing factor of the moving average of an endpoint's slowness. */
constexpr double kSlownessSmoothing = 0.1;
constexpr double kMinSlowness = 0.05;
constexpr double kMaxSlowness = 50.0;
/** Maximum number of times that the pause is doubled. */
constexpr uint32_t kMaxPauseDoublings = 10;

uint32_t SlotsInService(const PooledEndpoint& endpoint, Millis now) {
  if (endpoint.member.leaving || endpoint.ejected_until > now)
    return 0;
  return endpoint.is_probing ? 1 : endpoint.member.slots;
}

bool HasFreeSlot(const PooledEndpoint& endpoint, Millis now) {
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
    if (!HasFreeSlot(endpoint, now) ||
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
  uint32_t free_slots = 0;
  for (const auto& [id, endpoint] : pool.endpoints) {
    const uint32_t slots = SlotsInService(endpoint, now);
    free_slots +=
        slots > endpoint.outstanding ? slots - endpoint.outstanding : 0;
  }
  return free_slots;
}

void RecordSuccess(PooledEndpoint& endpoint, Millis run_time, Millis expected) {
  endpoint.failures_in_row = 0;
  endpoint.ejections_in_row = 0;
  endpoint.is_probing = false;
  const double sample =
      static_cast<double>(run_time.count) /
      static_cast<double>(std::max<int64_t>(expected.count, 1));
  endpoint.slowness += kSlownessSmoothing * (sample - endpoint.slowness);
  endpoint.slowness = std::clamp(endpoint.slowness, kMinSlowness, kMaxSlowness);
}

void RecordFailure(EndpointPool& pool,
                   PooledEndpoint& endpoint,
                   const EjectionLimits& limits,
                   Millis now) {
  ++endpoint.failures_in_row;
  const bool is_at_ejection_limit =
      size_t{CountEjected(pool, now)} * limits.min_endpoints_per_ejection >=
      pool.endpoints.size();
  if (endpoint.failures_in_row < limits.failures_in_row ||
      endpoint.ejected_until > now || is_at_ejection_limit)
    return;
  const uint32_t doublings =
      std::min(endpoint.ejections_in_row, kMaxPauseDoublings);
  const Millis pause{limits.initial_pause.count << doublings};
  endpoint.ejected_until = now + std::min(pause, limits.max_pause);
  endpoint.is_probing = true;
  ++endpoint.ejections_in_row;
}

}  // namespace dogwoodfall
