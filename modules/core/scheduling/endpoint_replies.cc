#include "core/scheduling/endpoint_replies.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/scheduling/endpoint_ejection.h"
#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/endpoint_orders.h"
#include "core/scheduling/endpoint_runs.h"
#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

/** First and longest pause after an endpoint says that it is unhealthy. */
constexpr Millis kFirstAvoidPause{100};
constexpr Millis kLongestAvoidPause{2'000};
/** Unanswered orders in a row after which an endpoint counts as silent. */
constexpr uint32_t kSilentAfter = 2;

void NoteAnswered(ManagedEndpoint& endpoint,
                  const EndpointReply& reply,
                  Millis now) {
  endpoint.unanswered = 0;
  if (reply.clock)
    endpoint.clock_ahead = *reply.clock - now;
}

void NoteUnanswered(ManagedEndpoint& endpoint, Millis now, Actions& actions) {
  ++endpoint.unanswered;
  if (endpoint.unanswered >= kSilentAfter &&
      endpoint.status == EndpointStatus::kUsable) {
    SetEndpointStatus(endpoint, EndpointStatus::kSilent, "unanswered", now,
                      actions);
  }
}

void TakeEnds(Scheduler& scheduler,
              ManagedEndpoint& endpoint,
              const EndpointReply& reply,
              Millis now,
              Actions& actions) {
  for (const EndedRun& end : reply.ended) {
    if (end.number <= endpoint.acknowledged_ends)
      continue;
    endpoint.acknowledged_ends = end.number;
    ++scheduler.counters.run_results[static_cast<size_t>(end.end)];
    const RunKey key{end.task, end.attempt.value};
    const auto found = endpoint.runs.find(key);
    const bool is_known = found != endpoint.runs.end();
    const Run run = is_known ? found->second : Run();
    DropRun(endpoint, key);
    if (end.end != RunResult::kDone) {
      actions.push_back(
          LogEvent{"run_ended",
                   {{"job", end.task.job.value},
                    {"task", FormatTaskPosition(end.task)},
                    {"attempt", std::to_string(end.attempt.value)},
                    {"endpoint", endpoint.entry.id.value},
                    {"kind", endpoint.entry.kind},
                    {"slowness", std::to_string(endpoint.slowness)},
                    {"percent", std::to_string(run.percent)},
                    {"expected_ms", std::to_string(run.expected.count)},
                    {"how", NameOf(end.end)},
                    {"ran_ms", std::to_string((now - run.ordered_at).count)}}});
    }
    if (end.end == RunResult::kDone) {
      NoteGoodRun(endpoint, actions);
      const Millis run_time = is_known ? now - run.ordered_at : Millis();
      NoteTaskDone(scheduler, end.task, run_time, now, actions);
      continue;
    }
    if (end.end == RunResult::kFailed && is_known) {
      NoteFailedRun(scheduler, endpoint, end.task, now, actions);
      NoteTaskFailed(scheduler, end.task, now, actions);
    }
    if (run.requeue)
      RequeueTask(scheduler, key, now);
  }
}

/** Compares the list of runs with what is known. */
void RemoveRunning(Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   const EndpointReply& reply,
                   Millis asked_at,
                   Millis now,
                   Actions& actions) {
  std::map<RunKey, int> listed;
  for (const ListedRun& run : reply.running)
    listed[{run.task, run.attempt.value}] = run.percent;
  std::vector<RunKey> gone;
  for (const auto& [key, run] : endpoint.runs) {
    // A run confirmed after the renewal left may be missing from its answer.
    if (run.state != RunState::kStarting && run.confirmed_at < asked_at &&
        listed.count(key) == 0)
      gone.push_back(key);
  }
  for (const RunKey& key : gone) {
    const bool requeue = endpoint.runs.at(key).requeue;
    DropRun(endpoint, key);
    if (requeue)
      RequeueTask(scheduler, key, now);
  }
  for (const auto& [key, percent] : listed) {
    const auto known = endpoint.runs.find(key);
    if (known != endpoint.runs.end()) {
      known->second.percent = percent;
      known->second.percent_at = now;
      continue;
    }
    Run found;
    found.state = RunState::kUnclaimed;
    found.ordered_at = now;
    found.confirmed_at = now;
    found.percent = percent;
    endpoint.runs.emplace(key, found);
    if (endpoint.status == EndpointStatus::kLooking &&
        (FindTask(scheduler, key.first) == nullptr ||
         ClaimRun(scheduler, endpoint, key)))
      continue;
    OrderStop(scheduler, endpoint, key, now, actions);
  }
}

void TakeRenewal(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 const EndpointReply& reply,
                 const OpenOrder& command,
                 Millis now,
                 Actions& actions) {
  if (endpoint.started_at_ms != 0 && reply.started_at_ms != 0 &&
      endpoint.started_at_ms != reply.started_at_ms)
    MeetNewLife(endpoint, reply.started_at_ms, actions);
  endpoint.started_at_ms = reply.started_at_ms;
  TakeEnds(scheduler, endpoint, reply, now, actions);
  RemoveRunning(scheduler, endpoint, reply, command.sent, now, actions);
  if (endpoint.status == EndpointStatus::kSilent)
    SetEndpointStatus(endpoint, EndpointStatus::kUsable, "answers", now,
                      actions);
  if (endpoint.status == EndpointStatus::kLooking && !HasForeignRun(endpoint)) {
    if (endpoint.runs.empty())
      endpoint.lease_until = now;
    SetEndpointStatus(endpoint, EndpointStatus::kUsable, "looked", now,
                      actions);
  }
}

void TakeStart(Scheduler& scheduler,
               ManagedEndpoint& endpoint,
               const EndpointReply& reply,
               const OpenOrder& command,
               Millis now,
               Actions& actions) {
  ++scheduler.counters.start_outcomes[static_cast<size_t>(reply.outcome)];
  const auto found = endpoint.runs.find(command.run);
  if (found == endpoint.runs.end())
    return;  // Its end was listed before the answer to its start came.
  Run& run = found->second;
  if (reply.outcome == CommandOutcome::kDone) {
    run.confirmed_at = now;
    if (run.state == RunState::kStarting)
      run.state = RunState::kRunning;
    endpoint.avoid_pause = Millis();
    return;
  }
  actions.push_back(
      LogEvent{"start_not_done",
               {{"job", command.run.first.job.value},
                {"task", FormatTaskPosition(command.run.first)},
                {"attempt", std::to_string(command.run.second)},
                {"endpoint", endpoint.entry.id.value},
                {"outcome", NameOf(reply.outcome)},
                {"waited_ms", std::to_string((now - command.sent).count)}}});
  if (reply.outcome == CommandOutcome::kUnanswered) {
    OrderStop(scheduler, endpoint, command.run, now, actions);
    return;
  }
  const bool requeue = run.requeue;
  DropRun(endpoint, command.run);
  if (reply.outcome == CommandOutcome::kMalformed) {
    EndJob(scheduler, command.run.first.job,
           {JobResult::kFailed, {}, "endpoint_can_not_read_it"}, now, actions);
    return;
  }
  if (reply.outcome == CommandOutcome::kUnhealthy) {
    endpoint.avoid_pause =
        std::clamp(endpoint.avoid_pause + endpoint.avoid_pause,
                   kFirstAvoidPause, kLongestAvoidPause);
    endpoint.avoid_until = now + endpoint.avoid_pause;
  }
  if (reply.outcome == CommandOutcome::kInsufficientResources) {
    // Something runs there that is not known; the next list shows it.
    endpoint.avoid_until = now + kFirstAvoidPause;
  }
  if (requeue)
    RequeueTask(scheduler, command.run, now);
}

void TakeStop(ManagedEndpoint& endpoint,
              const EndpointReply& reply,
              const OpenOrder& command,
              Millis now) {
  const auto found = endpoint.runs.find(command.run);
  if (found == endpoint.runs.end())
    return;
  Run& run = found->second;
  if (reply.outcome == CommandOutcome::kDone) {
    // It ends within 50 ms, or was never there and will not start any more:
    // lists that are asked for from now on tell.
    run.confirmed_at = std::min(run.confirmed_at, now);
    return;
  }

  run.stop_failed = true;
}

/** What holds for answers to all kinds of orders. @return true when the order
 * needs no more of its own handling.
 */
bool TakeCommonOutcome(Scheduler& scheduler,
                       ManagedEndpoint& endpoint,
                       const EndpointReply& reply,
                       Millis now,
                       Actions& actions) {
  switch (reply.outcome) {
    case CommandOutcome::kUnanswered:
      NoteUnanswered(endpoint, now, actions);
      return false;
    case CommandOutcome::kFenced:
      SetEndpointStatus(endpoint, EndpointStatus::kLost, "fenced", now,
                        actions);
      return false;
    case CommandOutcome::kNoListener:
    case CommandOutcome::kOtherIncarnation:
      LoseAllRuns(scheduler, endpoint, NameOf(reply.outcome), now, actions);
      endpoint.unanswered = kSilentAfter;
      endpoint.acknowledged_ends = 0;
      endpoint.started_at_ms = 0;
      SetEndpointStatus(endpoint, EndpointStatus::kSilent,
                        NameOf(reply.outcome), now, actions);
      return true;
    default:
      NoteAnswered(endpoint, reply, now);
      return false;
  }
}

}  // namespace

void HandleEndpointReply(Scheduler& scheduler,
                         const EndpointReply& reply,
                         Millis now,
                         Actions& actions) {
  const auto found = scheduler.orders.find(reply.id);
  if (found == scheduler.orders.end())
    return;
  const OpenOrder command = found->second;
  scheduler.orders.erase(found);
  const auto owned = scheduler.endpoints.find(command.endpoint);
  if (owned == scheduler.endpoints.end() ||
      owned->second.fencing_token != command.fencing_token)
    return;
  ManagedEndpoint& endpoint = owned->second;
  if (endpoint.renewal == reply.id)
    endpoint.renewal = CommandId();
  if (!TakeCommonOutcome(scheduler, endpoint, reply, now, actions)) {
    if (command.kind == OpenOrder::Kind::kStart)
      TakeStart(scheduler, endpoint, reply, command, now, actions);
    else if (command.kind == OpenOrder::Kind::kStop)
      TakeStop(endpoint, reply, command, now);
    else if (reply.outcome == CommandOutcome::kDone)
      TakeRenewal(scheduler, endpoint, reply, command, now, actions);
  }
  if (!endpoint.is_listed && endpoint.runs.empty())
    ReleaseEndpoint(scheduler, command.endpoint, now);
  else
    EnsureRenewal(scheduler, endpoint, now, actions);
  PlaceTasks(scheduler, now, actions);
}

}  // namespace dogwoodfall
