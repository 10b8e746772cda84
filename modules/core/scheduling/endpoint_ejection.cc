#include "core/scheduling/endpoint_ejection.h"

#include <algorithm>
#include <string>

#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

/** Failure share at which an endpoint is ejected. Two failures in a row reach
 * it, one does not.
 */
constexpr double kEjectionThreshold = 0.5;
/** Bounds of the ejection duration. Endpoints typically fail for 5 to 8 s, and
 * each trial after an ejection costs a task one of its two to four attempts.
 */
constexpr Millis kMinEjectionDuration{500};
constexpr Millis kMaxEjectionDuration{2'000};
/** Maximum share of a group's endpoints that may be ejected at a time. When
 * more of them fail, the cause is not the endpoints, and the remaining ones
 * could not take the load.
 */
constexpr double kMaxEjectedShare = 0.4;

/** Returns true when one more endpoint of a group may be ejected. */
bool MayEject(const Scheduler& scheduler, const EndpointGroup& group) {
  size_t total = 0;
  size_t ejected = 0;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.group != group)
      continue;
    ++total;
    ejected += endpoint.is_ejected ? 1 : 0;
  }
  return static_cast<double>(ejected + 1) <=
         kMaxEjectedShare * static_cast<double>(total);
}

void Eject(Scheduler& scheduler,
           ManagedEndpoint& endpoint,
           Millis now,
           Actions& actions) {
  if (!endpoint.is_ejected && !MayEject(scheduler, endpoint.group))
    return;
  endpoint.is_ejected = true;
  endpoint.ejection_duration =
      std::clamp(endpoint.ejection_duration + endpoint.ejection_duration,
                 kMinEjectionDuration, kMaxEjectionDuration);
  endpoint.backoff_until =
      std::max(endpoint.backoff_until, now + endpoint.ejection_duration);
  ++scheduler.counters.ejections;
  actions.push_back(LogEvent{
      "endpoint_ejected",
      {{"endpoint", endpoint.entry.id.value},
       {"failure_share", std::to_string(endpoint.failure_share)},
       {"pause_ms", std::to_string(endpoint.ejection_duration.count)}}});
}

}  // namespace

void RecordFailedRun(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     const JobTask& task,
                     Millis now,
                     Actions& actions) {
  const auto job = scheduler.jobs.find(task.job);
  if (job == scheduler.jobs.end() ||
      (job->second.has_failed_run && !endpoint.is_ejected))
    return;
  job->second.has_failed_run = true;
  LearnFromFailure(endpoint);
  const bool is_backing_off =
      endpoint.backoff_until > now && endpoint.is_ejected;
  if (!is_backing_off &&
      (endpoint.is_ejected || endpoint.failure_share >= kEjectionThreshold))
    Eject(scheduler, endpoint, now, actions);
}

void RecordSuccessfulRun(ManagedEndpoint& endpoint, Actions& actions) {
  LearnFromSuccess(endpoint);
  if (!endpoint.is_ejected)
    return;
  endpoint.is_ejected = false;
  endpoint.ejection_duration = Millis();
  actions.push_back(LogEvent{"endpoint_trusted_again",
                             {{"endpoint", endpoint.entry.id.value}}});
}

bool IsEligibleFor(const ManagedEndpoint& endpoint, const TaskProgress& task) {
  return !endpoint.is_ejected || (endpoint.runs.empty() && task.failures == 0);
}

}  // namespace dogwoodfall
