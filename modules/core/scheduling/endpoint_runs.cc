#include "core/scheduling/endpoint_runs.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

/** True for a run of a former owner that no job of this daemon has claimed: its
 * room is not known.
 */
bool IsForeign(const Run& run) {
  return run.resources == TaskResources();
}

}  // namespace

void SetEndpointStatus(ManagedEndpoint& endpoint,
                       EndpointStatus status,
                       const char* cause,
                       Millis now,
                       Actions& actions) {
  if (endpoint.status == status)
    return;
  endpoint.status = status;
  endpoint.status_since = now;
  actions.push_back(
      LogEvent{"endpoint_standing",
               {{"endpoint", endpoint.entry.id.value},
                {"standing", std::to_string(static_cast<int>(status))},
                {"cause", cause},
                {"token", std::to_string(endpoint.fencing_token)},
                {"runs", std::to_string(endpoint.runs.size())},
                {"unanswered", std::to_string(endpoint.unanswered)}}});
}

bool HasForeignRun(const ManagedEndpoint& endpoint) {
  return std::any_of(endpoint.runs.begin(), endpoint.runs.end(),
                     [](const auto& entry) { return IsForeign(entry.second); });
}

bool HasOwnRun(const ManagedEndpoint& endpoint) {
  return std::any_of(
      endpoint.runs.begin(), endpoint.runs.end(),
      [](const auto& entry) { return !IsForeign(entry.second); });
}

void DropRun(ManagedEndpoint& endpoint, const RunKey& key) {
  const auto run = endpoint.runs.find(key);
  if (run == endpoint.runs.end())
    return;
  endpoint.used = endpoint.used - run->second.resources;
  endpoint.runs.erase(run);
}

void LoseAllRuns(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 const char* cause,
                 Millis now,
                 Actions& actions) {
  if (endpoint.runs.empty())
    return;
  actions.push_back(LogEvent{"runs_lost",
                             {{"endpoint", endpoint.entry.id.value},
                              {"runs", std::to_string(endpoint.runs.size())},
                              {"cause", cause}}});
  const std::map<RunKey, Run> lost = std::move(endpoint.runs);
  endpoint.runs.clear();
  endpoint.used = TaskResources();
  for (const auto& [key, run] : lost) {
    if (run.requeue)
      RequeueTask(scheduler, key, now);
  }
}

void MeetNewLife(ManagedEndpoint& endpoint,
                 int64_t started_at_ms,
                 Actions& actions) {
  actions.push_back(LogEvent{"endpoint_new_life",
                             {{"endpoint", endpoint.entry.id.value},
                              {"born_ms", std::to_string(started_at_ms)},
                              {"runs", std::to_string(endpoint.runs.size())}}});
  endpoint.started_at_ms = started_at_ms;
  endpoint.acknowledged_ends = 0;
  endpoint.slowness = 1;
  endpoint.failure_share = 0;
  endpoint.is_on_trial = false;
  endpoint.ejection_pause = Millis();
}

}  // namespace dogwoodfall
