#include "core/scheduling/endpoint_commands.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include "core/scheduling/endpoint_runs.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_lease.h"
#include "core/scheduling/placement.h"

namespace dogwoodfall {
namespace {

/** How long an endpoint may delay the reply to a renewal until a run ends.
 * Three renewals fit into a lease.
 */
constexpr Millis kRenewalWait{150};
/** Time beyond the wait after which a renewal counts as unanswered. A round
 * trip takes 2 ms; the rest allows for a stalled endpoint or daemon.
 */
constexpr Millis kRenewalTimeoutMargin{120};
/** Time after which a start or stop counts as unanswered. */
constexpr Millis kCommandTimeout{120};
/** Confirmation time of a run that is not confirmed yet. It lies after every
 * list request, so that no list counts as proof that the run has ended.
 */
constexpr Millis kUnconfirmed{std::numeric_limits<int64_t>::max()};
/** Delay before a failed renewal or stop is retried. A reset connection fails
 * at once, so without a delay a new one would be opened every round trip.
 */
constexpr Millis kRetryBackoff{50};
/** Period of renewals for an unresponsive endpoint without runs. */
constexpr Millis kUnresponsivePollPeriod{300};

/** Age of a reading of an endpoint's clock from which on it is read again
 * before a start. The endpoint may have restarted since. Its clock has then
 * started anew as well, so that it takes a time on the former one for its
 * longest lease and doesn't refuse a start that is executed late.
 */
constexpr Millis kMaxClockAgeForStart{10};
/** Age of a reading from which on it is not used to renew a lease either. A
 * renewal that has not been answered is followed by one that reads the clock.
 */
constexpr Millis kMaxClockAgeForRenewal{300};
/** Remaining lease that a start needs. */
constexpr Millis kMinRunLease{200};

/** Converts a time to the clock of an endpoint. The clock may have run 2 % slow
 * since it was read, and a lease must not last longer for it.
 */
Millis ToEndpointClock(const ManagedEndpoint& endpoint,
                       Millis time,
                       Millis now) {
  constexpr int64_t kMaxClockDriftPercent = 2;
  constexpr int64_t kPercent = 100;
  const Millis age = now - endpoint.clock_read_at;
  const Millis max_drift{age.count * kMaxClockDriftPercent / kPercent};
  return time + *endpoint.clock_offset - max_drift;
}

CommandId SendCommand(Scheduler& scheduler,
                      const ManagedEndpoint& endpoint,
                      PendingCommand pending,
                      std::variant<StartRun, StopRun, RenewRuns> command,
                      Millis timeout,
                      Actions& actions) {
  const CommandId id(++scheduler.last_command_id);
  pending.endpoint = endpoint.entry.id;
  pending.fencing_token = endpoint.fencing_token;
  scheduler.pending_commands.emplace(id, std::move(pending));
  actions.push_back(CallEndpoint{{id, endpoint.entry.id, endpoint.entry.ip,
                                  endpoint.entry.port, endpoint.fencing_token,
                                  timeout, std::move(command)}});
  return id;
}

bool IsStartPending(const Run& run) {
  return run.state == RunState::kAwaitingClock;
}

/** Returns true when starts wait until the endpoint's clock is read. */
bool HasPendingStart(const ManagedEndpoint& endpoint) {
  return std::any_of(
      endpoint.runs.begin(), endpoint.runs.end(),
      [](const auto& entry) { return IsStartPending(entry.second); });
}

/** Returns the end of the lease that a renewal grants now, on this daemon's
 * clock; zero when it grants none.
 */
Millis ComputeRenewedLeaseEnd(const Scheduler& scheduler,
                              const ManagedEndpoint& endpoint,
                              Millis now) {
  // Runs of a previous owner must not be kept alive by reconciliation, and runs
  // on an unresponsive endpoint must end before they can be started elsewhere.
  if (!endpoint.clock_offset || IsOutOfContact(endpoint) ||
      !HasSentRun(endpoint) ||
      now - endpoint.clock_read_at > kMaxClockAgeForRenewal)
    return {};
  return ComputeRunLeaseEnd(scheduler, endpoint, now);
}

CommandId SendRenewal(Scheduler& scheduler,
                      ManagedEndpoint& endpoint,
                      Millis wait,
                      Millis now,
                      Actions& actions) {
  RenewRuns renewal;
  renewal.acknowledged_ends = endpoint.acknowledged_ends;
  renewal.wait = wait;
  const Millis lease_until = ComputeRenewedLeaseEnd(scheduler, endpoint, now);
  if (lease_until > now) {
    renewal.lease_until = ToEndpointClock(endpoint, lease_until, now);
    endpoint.lease_until = std::max(endpoint.lease_until, lease_until);
  }
  ++scheduler.counters.renewals;
  endpoint.renewal_sent_at = now;
  PendingCommand pending;
  pending.sent_at = now;
  return SendCommand(scheduler, endpoint, pending, renewal,
                     wait + kRenewalTimeoutMargin, actions);
}

/** Returns true when a run that starts now gets a lease that lasts until its
 * next renewal, and none that is much longer.
 */
bool HasLeaseForRun(const Scheduler& scheduler,
                    const ManagedEndpoint& endpoint,
                    Millis now) {
  return ComputeRunLeaseEnd(scheduler, endpoint, now) >= now + kMinRunLease &&
         endpoint.excess_lease_until <= now + kRunLease;
}

/** Returns true when a task can't be started on the endpoint any more that was
 * placed there.
 */
bool IsStartObsolete(Scheduler& scheduler,
                     const ManagedEndpoint& endpoint,
                     const RunKey& key,
                     const Run& run,
                     Millis now) {
  return run.is_start_withdrawn || !AcceptsWork(scheduler, endpoint, now) ||
         !HasLeaseForRun(scheduler, endpoint, now) ||
         now - run.start_sent_at >= kCommandTimeout ||
         !IsCurrentRun(scheduler, endpoint.entry.id, key);
}

/** Returns tasks to the queue that can't be started on the endpoint. */
void ReturnObsoleteStarts(Scheduler& scheduler,
                          ManagedEndpoint& endpoint,
                          Millis now) {
  std::vector<RunKey> obsolete;
  for (const auto& [key, run] : endpoint.runs) {
    if (IsStartPending(run) &&
        IsStartObsolete(scheduler, endpoint, key, run, now))
      obsolete.push_back(key);
  }
  for (const RunKey& key : obsolete) {
    const bool may_requeue = endpoint.runs.at(key).may_requeue;
    RemoveRun(endpoint, key);
    if (may_requeue)
      RequeueTask(scheduler, endpoint.entry.id, key, now);
  }
}

void TransmitStart(Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   const RunKey& key,
                   Millis now,
                   Actions& actions) {
  ScheduledJob& job = scheduler.jobs.at(key.first.job);
  RecordStart(scheduler, job, now, actions);
  Run& run = endpoint.runs.at(key);
  run.state = RunState::kStarting;
  run.endpoint_started_at_ms = endpoint.started_at_ms;
  run.start_sent_at = now;
  const Millis lease_until = ComputeRunLeaseEnd(scheduler, endpoint, now);
  endpoint.lease_until = std::max(endpoint.lease_until, lease_until);
  ++scheduler.counters.starts;
  PendingCommand pending;
  pending.sent_at = now;
  pending.kind = PendingCommand::Kind::kStart;
  pending.run = key;
  run.start_command =
      SendCommand(scheduler, endpoint, pending,
                  StartRun{key.first, Attempt(key.second), job.job.payload,
                           ToEndpointClock(endpoint, lease_until, now)},
                  kCommandTimeout, actions);
}

}  // namespace

void EnsureRenewal(Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   Millis now,
                   Actions& actions) {
  if (endpoint.pending_renewal != CommandId() ||
      endpoint.status == EndpointStatus::kFenced)
    return;
  if (endpoint.unanswered > 0 && now - endpoint.renewal_sent_at < kRetryBackoff)
    return;
  std::optional<Millis> wait;
  if (endpoint.status == EndpointStatus::kUnresponsive) {
    if (now - endpoint.renewal_sent_at >= kUnresponsivePollPeriod ||
        HasSentRun(endpoint))
      wait = Millis();
  } else if (endpoint.status == EndpointStatus::kReconciling) {
    // The first renewal is answered at once; later ones wait for stopped runs
    // to end.
    wait = endpoint.runs.empty() ? Millis() : kRenewalWait;
  } else if (!endpoint.clock_offset) {
    if (now - endpoint.renewal_sent_at >= kRetryBackoff)
      wait = Millis();
  } else if (endpoint.unanswered > 0) {
    // An idle endpoint gets no work before it answers again.
    wait = Millis();
  } else if (HasSentRun(endpoint)) {
    wait = kRenewalWait;
  }
  if (wait) {
    endpoint.pending_renewal =
        SendRenewal(scheduler, endpoint, *wait, now, actions);
  }
}

void PollEndpoint(Scheduler& scheduler,
                  ManagedEndpoint& endpoint,
                  Millis now,
                  Actions& actions) {
  endpoint.pending_renewal =
      SendRenewal(scheduler, endpoint, Millis(), now, actions);
}

void SendStart(Scheduler& scheduler,
               ManagedEndpoint& endpoint,
               const ScheduledJob& job,
               const JobTask& task,
               Millis expected_run_time,
               Millis now,
               Actions& actions) {
  Run run;
  run.state = RunState::kAwaitingClock;
  run.resources = job.job.steps[task.step].resources;
  run.start_sent_at = now;
  run.confirmed_at = kUnconfirmed;
  run.expected_run_time = expected_run_time;
  endpoint.used = endpoint.used + run.resources;
  const uint32_t attempt = job.tasks[task.step][task.index].attempt;
  endpoint.runs.emplace(RunKey{task, attempt}, run);
  SendAwaitingStarts(scheduler, endpoint, now, actions);
}

void SendAwaitingStarts(Scheduler& scheduler,
                        ManagedEndpoint& endpoint,
                        Millis now,
                        Actions& actions) {
  if (!HasPendingStart(endpoint))
    return;
  ReturnObsoleteStarts(scheduler, endpoint, now);
  std::vector<RunKey> pending;
  for (const auto& [key, run] : endpoint.runs) {
    if (IsStartPending(run))
      pending.push_back(key);
  }
  if (pending.empty())
    return;
  if (now - endpoint.clock_read_at > kMaxClockAgeForStart) {
    if (endpoint.pending_clock_reading == CommandId()) {
      endpoint.pending_clock_reading =
          SendRenewal(scheduler, endpoint, Millis(), now, actions);
    }
    return;
  }
  for (const RunKey& key : pending)
    TransmitStart(scheduler, endpoint, key, now, actions);
  EnsureRenewal(scheduler, endpoint, now, actions);
}

void SendStop(Scheduler& scheduler,
              ManagedEndpoint& endpoint,
              const RunKey& key,
              Millis now,
              Actions& actions) {
  Run& run = endpoint.runs.at(key);
  if (IsStartPending(run)) {
    run.is_start_withdrawn = true;
    return;
  }
  const bool is_stopping =
      run.state == RunState::kStopping && !run.has_failed_stop;
  if (is_stopping || endpoint.status == EndpointStatus::kFenced)
    return;
  run.state = RunState::kStopping;
  run.stop_sent_at = now;
  run.has_failed_stop = false;
  ++scheduler.counters.stops;
  PendingCommand pending;
  pending.sent_at = now;
  pending.kind = PendingCommand::Kind::kStop;
  pending.run = key;
  SendCommand(scheduler, endpoint, pending,
              StopRun{key.first, Attempt(key.second)}, kCommandTimeout,
              actions);
}

void RetryFailedStops(Scheduler& scheduler,
                      ManagedEndpoint& endpoint,
                      Millis now,
                      Actions& actions) {
  std::vector<RunKey> failed;
  for (const auto& [key, run] : endpoint.runs) {
    if (run.has_failed_stop && now - run.stop_sent_at >= kRetryBackoff)
      failed.push_back(key);
  }
  for (const RunKey& key : failed)
    SendStop(scheduler, endpoint, key, now, actions);
}

}  // namespace dogwoodfall
