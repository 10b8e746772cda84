#include "core/scheduling/endpoint_runs.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/scheduling/crash_tracking.h"
#include "core/scheduling/interference.h"
#include "core/scheduling/job_flow.h"

namespace dogwoodfall {

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

bool IsOutOfContact(const ManagedEndpoint& endpoint) {
  return endpoint.status == EndpointStatus::kUnresponsive ||
         endpoint.status == EndpointStatus::kFenced ||
         (endpoint.status == EndpointStatus::kReconciling &&
          endpoint.unanswered >= kUnresponsiveThreshold);
}

EndpointEntry MakeIncarnationEntry(const ManagedEndpoint& endpoint) {
  EndpointEntry entry = endpoint.entry;
  if (endpoint.started_at_ms != 0)
    entry.started_at_ms = endpoint.started_at_ms;
  return entry;
}

bool HasUnclaimedRun(const ManagedEndpoint& endpoint) {
  return std::any_of(
      endpoint.runs.begin(), endpoint.runs.end(),
      [](const auto& entry) { return !entry.second.is_claimed; });
}

bool HasSentRun(const ManagedEndpoint& endpoint) {
  return std::any_of(endpoint.runs.begin(), endpoint.runs.end(),
                     [](const auto& entry) {
                       return entry.second.state != RunState::kAwaitingClock;
                     });
}

void RemoveRun(ManagedEndpoint& endpoint, const RunKey& key, Millis now) {
  const auto run = endpoint.runs.find(key);
  if (run == endpoint.runs.end())
    return;
  endpoint.used = endpoint.used - run->second.resources;
  UncountRun(endpoint, run->second, now);
  endpoint.runs.erase(run);
}

void MarkAllRunsLost(Scheduler& scheduler,
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
  endpoint.neighbour_times = NeighbourTimes();
  std::vector<JobTask> tasks;
  for (const auto& [key, run] : lost) {
    if (run.state == RunState::kAwaitingClock)
      continue;  // It has never started.
    tasks.push_back(key.first);
    ++scheduler.counters.lost_runs;
    actions.push_back(LogEvent{
        "run_lost",
        {{"job", key.first.job.value},
         {"task", FormatTaskPosition(key.first)},
         {"attempt", std::to_string(key.second)},
         {"endpoint", endpoint.entry.id.value},
         {"started_ms_ago", std::to_string((now - run.start_sent_at).count)}}});
  }
  // A fenced endpoint has answered; its runs end with their lease only.
  if (endpoint.status != EndpointStatus::kFenced) {
    RecordEndpointLoss(scheduler, endpoint.entry, endpoint.started_at_ms, tasks,
                       now, actions);
  }
  for (const auto& [key, run] : lost) {
    if (run.may_requeue)
      RequeueTask(scheduler, endpoint.entry.id, key, now);
  }
}

void ForgetIncarnation(ManagedEndpoint& endpoint, Millis since) {
  endpoint.clock_offset.reset();
  endpoint.incarnation_since = since;
  endpoint.acknowledged_ends = 0;
}

void HandleEndpointRestart(ManagedEndpoint& endpoint,
                           int64_t started_at_ms,
                           Actions& actions) {
  actions.push_back(LogEvent{"endpoint_new_life",
                             {{"endpoint", endpoint.entry.id.value},
                              {"born_ms", std::to_string(started_at_ms)},
                              {"runs", std::to_string(endpoint.runs.size())}}});
  endpoint.started_at_ms = started_at_ms;
  endpoint.slowness = 1;
  endpoint.observed_runs = 0;
  endpoint.starts_from_kind = false;
  endpoint.speed_started_at_ms = 0;
  endpoint.failure_share = 0;
  endpoint.neighbour_times.successes = 0;
  endpoint.is_ejected = false;
  endpoint.ejection_duration = Millis();
}

}  // namespace dogwoodfall
