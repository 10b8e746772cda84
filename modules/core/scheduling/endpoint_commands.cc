#include "core/scheduling/endpoint_commands.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "core/scheduling/endpoint_runs.h"
#include "core/scheduling/job_lease.h"

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

/** Time after which a clock that was read has to be read again, so that leases
 * last long enough for the next renewal.
 */
constexpr Millis kMaxClockAge{1'000};

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

void SendRenewal(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 Millis wait,
                 Millis now,
                 Actions& actions) {
  RenewRuns renewal;
  renewal.acknowledged_ends = endpoint.acknowledged_ends;
  renewal.wait = wait;
  // Runs of a previous owner must not be kept alive by reconciliation, and runs
  // on an unresponsive endpoint must end before they can be started elsewhere.
  const Millis lease_until = ComputeRunLeaseEnd(scheduler, endpoint, now);
  if (endpoint.clock_offset && !endpoint.runs.empty() &&
      !IsOutOfContact(endpoint) && lease_until > now) {
    renewal.lease_until = ToEndpointClock(endpoint, lease_until, now);
    endpoint.lease_until = std::max(endpoint.lease_until, lease_until);
  }
  ++scheduler.counters.renewals;
  endpoint.renewal_sent_at = now;
  PendingCommand pending;
  pending.sent_at = now;
  endpoint.pending_renewal = SendCommand(scheduler, endpoint, pending, renewal,
                                         wait + kRenewalTimeoutMargin, actions);
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
  if (endpoint.status == EndpointStatus::kUnresponsive) {
    if (now - endpoint.renewal_sent_at >= kUnresponsivePollPeriod ||
        !endpoint.runs.empty())
      SendRenewal(scheduler, endpoint, {}, now, actions);
  } else if (endpoint.status == EndpointStatus::kReconciling) {
    // The first renewal is answered at once; later ones wait for stopped runs
    // to end.
    const Millis wait = endpoint.runs.empty() ? Millis() : kRenewalWait;
    SendRenewal(scheduler, endpoint, wait, now, actions);
  } else if (!endpoint.clock_offset) {
    if (now - endpoint.renewal_sent_at >= kRetryBackoff)
      SendRenewal(scheduler, endpoint, {}, now, actions);
  } else if (!endpoint.runs.empty() || endpoint.unanswered > 0) {
    // An idle endpoint gets no work before it answers again.
    const Millis wait = endpoint.unanswered > 0 ? Millis() : kRenewalWait;
    SendRenewal(scheduler, endpoint, wait, now, actions);
  }
}

void PollEndpoint(Scheduler& scheduler,
                  ManagedEndpoint& endpoint,
                  Millis now,
                  Actions& actions) {
  SendRenewal(scheduler, endpoint, Millis(), now, actions);
}

void SendStart(Scheduler& scheduler,
               ManagedEndpoint& endpoint,
               const ScheduledJob& job,
               const JobTask& task,
               Millis expected_run_time,
               Millis now,
               Actions& actions) {
  const JobStep& step = job.job.steps[task.step];
  const uint32_t attempt = job.tasks[task.step][task.index].attempt;
  const RunKey key{task, attempt};
  Run run;
  run.resources = step.resources;
  run.endpoint_started_at_ms = endpoint.started_at_ms;
  run.start_sent_at = now;
  run.confirmed_at = kUnconfirmed;
  run.expected_run_time = expected_run_time;
  run.has_short_lease = now - endpoint.clock_read_at > kMaxClockAge;
  endpoint.used = endpoint.used + run.resources;
  const Millis lease_until =
      std::min(ComputeRunLeaseEnd(scheduler, endpoint, now),
               GetJobLeaseEnd(scheduler, task.job) + kRunEndMargin);
  endpoint.lease_until = std::max(endpoint.lease_until, lease_until);
  ++scheduler.counters.starts;
  PendingCommand pending;
  pending.sent_at = now;
  pending.kind = PendingCommand::Kind::kStart;
  pending.run = key;
  run.start_command =
      SendCommand(scheduler, endpoint, pending,
                  StartRun{task, Attempt(attempt), job.job.payload,
                           ToEndpointClock(endpoint, lease_until, now)},
                  kCommandTimeout, actions);
  endpoint.runs.emplace(key, run);
  // A renewal that follows the answer knows the endpoint's clock.
  if (!run.has_short_lease)
    EnsureRenewal(scheduler, endpoint, now, actions);
}

void SendStop(Scheduler& scheduler,
              ManagedEndpoint& endpoint,
              const RunKey& key,
              Millis now,
              Actions& actions) {
  Run& run = endpoint.runs.at(key);
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
