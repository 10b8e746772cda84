#include "core/scheduling/endpoint_ejection.h"

#include <algorithm>
#include <string>

#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

/** Learned share of failures from which on an endpoint is ejected: two failures
 * in a row reach it, one does not.
 */
constexpr double kEjectedFrom = 0.5;
/** First and longest pause of an ejected endpoint. Bad spells last 5 to 8 s,
 * and each trial costs a task one of its two to four attempts.
 */
constexpr Millis kFirstPause{500};
constexpr Millis kLongestPause{2'000};
/** Largest share of a group's endpoints that are out at a time: when more of
 * them fail, the fault is elsewhere, and the rest could not carry the load.
 */
constexpr double kMostEjectedShare = 0.4;

/** True when one more endpoint of a group may be ejected. */
bool MayEject(const Scheduler& scheduler, const EndpointGroup& group) {
  size_t all = 0;
  size_t out = 0;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.group != group)
      continue;
    ++all;
    out += endpoint.is_on_trial ? 1 : 0;
  }
  return static_cast<double>(out + 1) <=
         kMostEjectedShare * static_cast<double>(all);
}

void Eject(Scheduler& scheduler,
           ManagedEndpoint& endpoint,
           Millis now,
           Actions& actions) {
  if (!endpoint.is_on_trial && !MayEject(scheduler, endpoint.group))
    return;
  endpoint.is_on_trial = true;
  endpoint.ejection_pause =
      std::clamp(endpoint.ejection_pause + endpoint.ejection_pause, kFirstPause,
                 kLongestPause);
  endpoint.avoid_until =
      std::max(endpoint.avoid_until, now + endpoint.ejection_pause);
  ++scheduler.counters.ejections;
  actions.push_back(
      LogEvent{"endpoint_ejected",
               {{"endpoint", endpoint.entry.id.value},
                {"failure_share", std::to_string(endpoint.failure_share)},
                {"pause_ms", std::to_string(endpoint.ejection_pause.count)}}});
}

}  // namespace

void NoteFailedRun(Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   const JobTask& task,
                   Millis now,
                   Actions& actions) {
  const auto job = scheduler.jobs.find(task.job);
  if (job == scheduler.jobs.end() ||
      (job->second.has_failed_run && !endpoint.is_on_trial))
    return;
  job->second.has_failed_run = true;
  LearnFromFailure(endpoint);
  const bool is_out = endpoint.avoid_until > now && endpoint.is_on_trial;
  if (!is_out &&
      (endpoint.is_on_trial || endpoint.failure_share >= kEjectedFrom))
    Eject(scheduler, endpoint, now, actions);
}

void NoteGoodRun(ManagedEndpoint& endpoint, Actions& actions) {
  LearnFromSuccess(endpoint);
  if (!endpoint.is_on_trial)
    return;
  endpoint.is_on_trial = false;
  endpoint.ejection_pause = Millis();
  actions.push_back(LogEvent{"endpoint_trusted_again",
                             {{"endpoint", endpoint.entry.id.value}}});
}

bool IsTrustedWith(const ManagedEndpoint& endpoint, const TaskProgress& task) {
  return !endpoint.is_on_trial || (endpoint.runs.empty() && task.failures == 0);
}

}  // namespace dogwoodfall
