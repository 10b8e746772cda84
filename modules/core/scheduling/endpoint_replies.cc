#include "core/scheduling/endpoint_replies.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/scheduling/crash_tracking.h"
#include "core/scheduling/endpoint_commands.h"
#include "core/scheduling/endpoint_ejection.h"
#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/endpoint_kinds.h"
#include "core/scheduling/endpoint_runs.h"
#include "core/scheduling/interference.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/placement.h"

namespace dogwoodfall {
namespace {

/** Bounds of the backoff after an endpoint has rejected a command; it doubles
 * with each such reply.
 */
constexpr Millis kMinUnhealthyBackoff{100};
constexpr Millis kMaxUnhealthyBackoff{2'000};
/** Number of endpoints that may fail to parse the start of a task before its
 * job is given up.
 */
constexpr size_t kMaxRejectingEndpoints = 3;

/** Returns true when an endpoint has answered that it can't do what it was
 * told.
 */
bool IsRejection(CommandOutcome outcome) {
  return outcome == CommandOutcome::kUnhealthy ||
         outcome == CommandOutcome::kMalformed;
}

void BackOff(ManagedEndpoint& endpoint, Millis now) {
  endpoint.unhealthy_backoff =
      std::clamp(endpoint.unhealthy_backoff + endpoint.unhealthy_backoff,
                 kMinUnhealthyBackoff, kMaxUnhealthyBackoff);
  endpoint.backoff_until = now + endpoint.unhealthy_backoff;
}

/** Returns true when a reply comes from another incarnation than the clock that
 * was read. A start's answer doesn't have to name its incarnation, but a steady
 * clock never goes back.
 */
bool IsOfOtherIncarnation(const ManagedEndpoint& endpoint,
                          const EndpointReply& reply,
                          const PendingCommand& command) {
  const bool has_other_start = endpoint.started_at_ms != 0 &&
                               reply.started_at_ms != 0 &&
                               endpoint.started_at_ms != reply.started_at_ms;
  return has_other_start ||
         (endpoint.clock_offset && reply.clock &&
          command.sent_at >= endpoint.clock_read_at &&
          *reply.clock < *endpoint.clock_offset + endpoint.clock_read_at);
}

void RecordAnsweredCommand(ManagedEndpoint& endpoint,
                           const EndpointReply& reply,
                           const PendingCommand& command,
                           Millis now) {
  endpoint.unanswered = 0;
  if (command.sent_at < endpoint.incarnation_since)
    return;
  if (IsOfOtherIncarnation(endpoint, reply, command)) {
    ForgetIncarnation(endpoint, command.sent_at);
    // A command with a time on the former clock has granted the longest lease.
    if (HasSentRun(endpoint) || endpoint.lease_until > now) {
      endpoint.excess_lease_until = now + kMaxLease;
      endpoint.lease_until = std::max(endpoint.lease_until, now + kMaxLease);
    }
  }
  const bool names_incarnation =
      command.kind == PendingCommand::Kind::kRenew ||
      (reply.started_at_ms != 0 &&
       reply.started_at_ms == endpoint.started_at_ms);
  if (!reply.clock || !names_incarnation)
    return;
  endpoint.clock_offset = *reply.clock - now;
  endpoint.clock_read_at = now;
}

void RecordUnansweredCommand(ManagedEndpoint& endpoint,
                             Millis now,
                             Actions& actions) {
  ++endpoint.unanswered;
  if (endpoint.unanswered >= kUnresponsiveThreshold &&
      endpoint.status == EndpointStatus::kUsable) {
    SetEndpointStatus(endpoint, EndpointStatus::kUnresponsive, "unanswered",
                      now, actions);
  }
}

void ApplyEndedRuns(Scheduler& scheduler,
                    ManagedEndpoint& endpoint,
                    const EndpointReply& reply,
                    Millis now,
                    Actions& actions) {
  for (const EndedRun& ended_run : reply.ended) {
    if (ended_run.number <= endpoint.acknowledged_ends)
      continue;
    endpoint.acknowledged_ends = ended_run.number;
    ++scheduler.counters.run_results[static_cast<size_t>(ended_run.result)];
    const RunKey key{ended_run.task, ended_run.attempt.value};
    const auto found = endpoint.runs.find(key);
    const bool is_known = found != endpoint.runs.end();
    const bool is_current = IsCurrentRun(scheduler, endpoint.entry.id, key);
    const Run run = is_known ? found->second : Run();
    if (ended_run.result == RunResult::kDone && is_current && is_known)
      RecordRunSample(scheduler, endpoint, key.first, run, now);
    RemoveRun(endpoint, key, now);
    if (ended_run.result != RunResult::kDone) {
      actions.push_back(LogEvent{
          "run_ended",
          {{"job", ended_run.task.job.value},
           {"task", FormatTaskPosition(ended_run.task)},
           {"attempt", std::to_string(ended_run.attempt.value)},
           {"endpoint", endpoint.entry.id.value},
           {"kind", endpoint.entry.kind},
           {"slowness", std::to_string(endpoint.slowness)},
           {"percent", std::to_string(run.percent)},
           {"expected_ms", std::to_string(run.expected_run_time.count)},
           {"how", NameOf(ended_run.result)},
           {"ran_ms", std::to_string((now - run.start_sent_at).count)}}});
    }
    if (ended_run.result == RunResult::kDone) {
      RecordSuccessfulRun(endpoint, actions);
      const Millis run_time =
          is_known && is_current ? now - run.start_sent_at : Millis();
      RecordTaskSuccess(scheduler, ended_run.task, run_time, now, actions);
      continue;
    }
    if (ended_run.result == RunResult::kFailed && is_known) {
      RecordFailedRun(scheduler, endpoint, ended_run.task, now, actions);
      if (is_current)
        RecordTaskFailure(scheduler, ended_run.task, now, actions);
    }
    if (run.may_requeue)
      RequeueTask(scheduler, endpoint.entry.id, key, now);
  }
}

/** Compares the list of runs in a renewal reply with the known runs: removes
 * runs that have ended, updates progress, and claims or stops unknown runs.
 *
 * @param query_sent_at when the renewal was sent
 */
void ReconcileRuns(Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   const EndpointReply& reply,
                   Millis query_sent_at,
                   Millis now,
                   Actions& actions) {
  std::map<RunKey, int> listed;
  for (const ListedRun& run : reply.running)
    listed[{run.task, run.attempt.value}] = run.percent;
  std::vector<RunKey> missing;
  std::vector<RunKey> unconfirmed;
  for (const auto& [key, run] : endpoint.runs) {
    // The start may still be on its way, so its absence is no proof.
    if (run.state == RunState::kStarting &&
        run.start_unanswered_at != Millis() &&
        run.start_unanswered_at <= query_sent_at && listed.count(key) == 0)
      unconfirmed.push_back(key);
    // A run confirmed after the renewal was sent may be missing in its reply.
    if (run.state != RunState::kStarting && run.confirmed_at < query_sent_at &&
        listed.count(key) == 0)
      missing.push_back(key);
  }
  // Runs of earlier incarnations of the endpoint, by its start.
  std::map<int64_t, std::vector<JobTask>> lost;
  for (const RunKey& key : missing) {
    const Run run = endpoint.runs.at(key);
    RemoveRun(endpoint, key, now);
    if (run.endpoint_started_at_ms != 0 &&
        run.endpoint_started_at_ms != endpoint.started_at_ms)
      lost[run.endpoint_started_at_ms].push_back(key.first);
    if (run.may_requeue)
      RequeueTask(scheduler, endpoint.entry.id, key, now);
  }
  for (const auto& [started_at_ms, tasks] : lost) {
    RecordEndpointLoss(scheduler, endpoint.entry, started_at_ms, tasks, now,
                       actions);
  }
  for (const RunKey& key : unconfirmed)
    SendStop(scheduler, endpoint, key, now, actions);
  endpoint.has_foreign_runs = false;
  for (const auto& [key, percent] : listed) {
    const auto known = endpoint.runs.find(key);
    if (known != endpoint.runs.end()) {
      if (known->second.state == RunState::kStarting) {
        known->second.state = RunState::kRunning;
        known->second.confirmed_at = now;
      }
      known->second.percent = percent;
      known->second.percent_updated_at = now;
      continue;
    }
    const bool is_of_owner = endpoint.is_held_for_reported_runs &&
                             FindTask(scheduler, key.first) == nullptr;
    if (is_of_owner) {
      endpoint.has_foreign_runs = true;
      continue;
    }
    Run unclaimed;
    unclaimed.state = RunState::kUnclaimed;
    unclaimed.endpoint_started_at_ms = endpoint.started_at_ms;
    unclaimed.is_claimed = false;
    unclaimed.start_sent_at = now;
    unclaimed.confirmed_at = now;
    unclaimed.percent = percent;
    CountFoundRun(scheduler, endpoint, unclaimed, now);
    endpoint.runs.emplace(key, unclaimed);
    if (endpoint.status == EndpointStatus::kReconciling &&
        (FindTask(scheduler, key.first) == nullptr ||
         ClaimRun(scheduler, endpoint, key)))
      continue;
    SendStop(scheduler, endpoint, key, now, actions);
  }
}

void HandleRenewalReply(Scheduler& scheduler,
                        ManagedEndpoint& endpoint,
                        const EndpointReply& reply,
                        const PendingCommand& command,
                        Millis now,
                        Actions& actions) {
  if (endpoint.started_at_ms != 0 && reply.started_at_ms != 0 &&
      endpoint.started_at_ms != reply.started_at_ms) {
    HandleEndpointRestart(endpoint, reply.started_at_ms, actions);
    InitializeSpeed(scheduler, endpoint);
  }
  endpoint.started_at_ms = reply.started_at_ms;
  if (endpoint.status != EndpointStatus::kUsable || endpoint.is_reported_lost)
    RetractEndpointLoss(scheduler, {endpoint.entry.id, endpoint.started_at_ms});
  endpoint.is_reported_lost = false;
  ApplyEndedRuns(scheduler, endpoint, reply, now, actions);
  ReconcileRuns(scheduler, endpoint, reply, command.sent_at, now, actions);
  if (endpoint.status == EndpointStatus::kUnresponsive)
    SetEndpointStatus(endpoint, EndpointStatus::kUsable, "answers", now,
                      actions);
  if (endpoint.status == EndpointStatus::kReconciling &&
      command.sent_at >= endpoint.status_since && !HasUnclaimedRun(endpoint)) {
    if (endpoint.runs.empty())
      endpoint.lease_until = now;
    RemoveListedReports(scheduler, endpoint, command.sent_at, now, actions);
    SetEndpointStatus(endpoint, EndpointStatus::kUsable, "reconciled", now,
                      actions);
  }
}

/** Returns true when an endpoint may be able to parse a start of a task that
 * others have rejected.
 */
bool MayTryAnotherEndpoint(Scheduler& scheduler, const JobTask& id) {
  const TaskProgress& task = *FindTask(scheduler, id);
  const ScheduledJob& job = scheduler.jobs.at(id.job);
  return task.rejected_by.size() < kMaxRejectingEndpoints &&
         std::any_of(scheduler.endpoints.begin(), scheduler.endpoints.end(),
                     [&](const auto& entry) {
                       const ManagedEndpoint& endpoint = entry.second;
                       return endpoint.group == job.group &&
                              endpoint.is_registered &&
                              !endpoint.entry.draining &&
                              !HasRejected(endpoint.entry.id, task) &&
                              CanEverRun(endpoint.entry, job.job,
                                         job.job.steps[id.step]);
                     });
}

void HandleStartReply(Scheduler& scheduler,
                      ManagedEndpoint& endpoint,
                      const EndpointReply& reply,
                      const PendingCommand& command,
                      Millis now,
                      Actions& actions) {
  ++scheduler.counters.start_outcomes[static_cast<size_t>(reply.outcome)];
  const auto found = endpoint.runs.find(command.run);
  if (found == endpoint.runs.end())
    return;  // Its end was reported before the reply to its start arrived.
  Run& run = found->second;
  if (run.start_command != reply.id)
    return;  // Answers the start of an earlier run with the same attempt.
  if (reply.outcome == CommandOutcome::kDone) {
    run.confirmed_at = now;
    if (run.state == RunState::kStarting)
      run.state = RunState::kRunning;
    endpoint.unhealthy_backoff = Millis();
    return;
  }
  actions.push_back(
      LogEvent{"start_not_done",
               {{"job", command.run.first.job.value},
                {"task", FormatTaskPosition(command.run.first)},
                {"attempt", std::to_string(command.run.second)},
                {"endpoint", endpoint.entry.id.value},
                {"outcome", NameOf(reply.outcome)},
                {"waited_ms", std::to_string((now - command.sent_at).count)}}});
  if (reply.outcome == CommandOutcome::kUnanswered) {
    // The run may be active. The next list shows it, or it is stopped.
    if (run.state == RunState::kStarting) {
      run.start_unanswered_at = now;
      PollEndpoint(scheduler, endpoint, now, actions);
    }
    return;
  }
  const bool may_requeue = run.may_requeue;
  RemoveRun(endpoint, command.run, now);
  if (reply.outcome == CommandOutcome::kMalformed &&
      IsCurrentRun(scheduler, endpoint.entry.id, command.run)) {
    FindTask(scheduler, command.run.first)
        ->rejected_by.push_back(endpoint.entry.id);
    if (!MayTryAnotherEndpoint(scheduler, command.run.first)) {
      EndJob(scheduler, command.run.first.job,
             {JobResult::kAbandoned, {}, "endpoints_rejected_starts"}, now,
             actions);
      return;
    }
  }
  if (IsRejection(reply.outcome))
    BackOff(endpoint, now);
  if (reply.outcome == CommandOutcome::kInsufficientResources) {
    // An unknown run occupies resources there; the next renewal lists it.
    endpoint.backoff_until = now + kMinUnhealthyBackoff;
  }
  if (may_requeue)
    RequeueTask(scheduler, endpoint.entry.id, command.run, now);
}

void HandleStopReply(ManagedEndpoint& endpoint,
                     const EndpointReply& reply,
                     const PendingCommand& command,
                     Millis now) {
  const auto found = endpoint.runs.find(command.run);
  if (found == endpoint.runs.end())
    return;
  Run& run = found->second;
  if (reply.outcome == CommandOutcome::kDone) {
    // The run ends within 50 ms, or never arrived and will not start any more.
    // Lists requested from now on show whether it has ended.
    run.confirmed_at = std::min(run.confirmed_at, now);
    return;
  }
  run.has_failed_stop = true;
}

/** Requeues the task of a start that has not reached its endpoint, so that it
 * does not count as lost there.
 */
void RemoveUndeliveredStart(Scheduler& scheduler,
                            ManagedEndpoint& endpoint,
                            const EndpointReply& reply,
                            const PendingCommand& command,
                            Millis now) {
  const bool is_undelivered =
      reply.outcome == CommandOutcome::kNoListener ||
      reply.outcome == CommandOutcome::kOtherIncarnation;
  const auto run = endpoint.runs.find(command.run);
  if (command.kind != PendingCommand::Kind::kStart || !is_undelivered ||
      run == endpoint.runs.end() || run->second.start_command != reply.id)
    return;
  const bool may_requeue = run->second.may_requeue;
  RemoveRun(endpoint, command.run, now);
  if (may_requeue)
    RequeueTask(scheduler, endpoint.entry.id, command.run, now);
}

/** Handles the outcomes that are common to all kinds of commands.
 * @return true when the command needs no further handling
 */
bool HandleCommonOutcome(Scheduler& scheduler,
                         ManagedEndpoint& endpoint,
                         const EndpointReply& reply,
                         const PendingCommand& command,
                         Millis now,
                         Actions& actions) {
  switch (reply.outcome) {
    case CommandOutcome::kUnanswered:
      RecordUnansweredCommand(endpoint, now, actions);
      return false;
    case CommandOutcome::kFenced:
      if (endpoint.status == EndpointStatus::kReconciling)
        ExtendReportedRuns(scheduler, endpoint.entry.id, now);
      // Until the next owner has stopped the runs started here, it renews their
      // lease together with that of its own runs.
      if (endpoint.status != EndpointStatus::kFenced)
        endpoint.lease_until = std::max(endpoint.lease_until, now + kMaxLease);
      SetEndpointStatus(endpoint, EndpointStatus::kFenced, "fenced", now,
                        actions);
      return false;
    case CommandOutcome::kNoListener:
    case CommandOutcome::kOtherIncarnation:
      MarkAllRunsLost(scheduler, endpoint, NameOf(reply.outcome), now, actions);
      endpoint.unanswered = kUnresponsiveThreshold;
      ForgetIncarnation(endpoint, now);
      endpoint.started_at_ms = 0;
      SetEndpointStatus(endpoint, EndpointStatus::kUnresponsive,
                        NameOf(reply.outcome), now, actions);
      return true;
    default:
      RecordAnsweredCommand(endpoint, reply, command, now);
      return false;
  }
}

/** Returns true when an endpoint that has no runs is still managed: it may get
 * work, or the runs that were reported there have not been listed and may be
 * active.
 */
bool IsNeededWithoutRuns(const ManagedEndpoint& endpoint, Millis now) {
  if (!endpoint.is_held_for_reported_runs)
    return endpoint.is_registered;
  return MayHaveUnlistedRuns(endpoint, now);
}

}  // namespace

void HandleEndpointReply(Scheduler& scheduler,
                         const EndpointReply& reply,
                         Millis now,
                         Actions& actions) {
  const auto found = scheduler.pending_commands.find(reply.id);
  if (found == scheduler.pending_commands.end())
    return;
  const PendingCommand command = found->second;
  scheduler.pending_commands.erase(found);
  const auto owned = scheduler.endpoints.find(command.endpoint);
  if (owned == scheduler.endpoints.end() ||
      owned->second.fencing_token != command.fencing_token)
    return;
  ManagedEndpoint& endpoint = owned->second;
  if (endpoint.pending_renewal == reply.id)
    endpoint.pending_renewal = CommandId();
  if (endpoint.pending_clock_reading == reply.id)
    endpoint.pending_clock_reading = CommandId();
  RemoveUndeliveredStart(scheduler, endpoint, reply, command, now);
  if (!HandleCommonOutcome(scheduler, endpoint, reply, command, now, actions)) {
    if (command.kind == PendingCommand::Kind::kStart)
      HandleStartReply(scheduler, endpoint, reply, command, now, actions);
    else if (command.kind == PendingCommand::Kind::kStop)
      HandleStopReply(endpoint, reply, command, now);
    else if (reply.outcome == CommandOutcome::kDone &&
             command.sent_at >= endpoint.incarnation_since)
      HandleRenewalReply(scheduler, endpoint, reply, command, now, actions);
    else if (IsRejection(reply.outcome))
      BackOff(endpoint, now);
  }
  SendAwaitingStarts(scheduler, endpoint, now, actions);
  if (endpoint.runs.empty() && !IsNeededWithoutRuns(endpoint, now))
    ReleaseEndpoint(scheduler, command.endpoint, now);
  else
    EnsureRenewal(scheduler, endpoint, now, actions);
  PlaceTasks(scheduler, now, actions);
}

}  // namespace dogwoodfall
