#include "core/scheduling/endpoint_orders.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "core/scheduling/endpoint_runs.h"

namespace dogwoodfall {
namespace {

/** Time that a renewal waits for an end. Three renewals fit into a lease. */
constexpr Millis kRenewalWait{150};
/** Time beyond the wait after which a renewal counts as unanswered; round trips
 * take 2 ms, and the rest is for an endpoint or a daemon that is held up.
 */
constexpr Millis kRenewalSlack{120};
/** The same for starts and stops. */
constexpr Millis kOrderTimeout{120};
/** Time of a run's confirmation while there is none: later than all lists. */
constexpr Millis kNotConfirmed{std::numeric_limits<int64_t>::max()};
/** Pause before a renewal or a stop that failed is made again. A connection
 * that is reset fails at once, and without a pause each round trip would open
 * another.
 */
constexpr Millis kRetryPause{50};
/** Pause between looks at a silent endpoint, in ms. */
constexpr Millis kSilentPause{300};

CommandId SendOrder(Scheduler& scheduler,
                    const ManagedEndpoint& endpoint,
                    OpenOrder open,
                    std::variant<StartRun, StopRun, RenewRuns> command,
                    Millis timeout,
                    Actions& actions) {
  const CommandId id(++scheduler.last_order);
  open.endpoint = endpoint.entry.id;
  open.fencing_token = endpoint.fencing_token;
  scheduler.orders.emplace(id, std::move(open));
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
  // What a former owner started lasts no longer for being looked at, and what a
  // silent endpoint runs has to end before it can run elsewhere.
  if (endpoint.clock_ahead && HasOwnRun(endpoint) &&
      endpoint.status != EndpointStatus::kSilent) {
    const Millis until = now + kRunLease;
    renewal.lease_until = until + *endpoint.clock_ahead;
    endpoint.lease_until = std::max(endpoint.lease_until, until);
  }
  ++scheduler.counters.renewals;
  endpoint.renewal_sent = now;
  OpenOrder open;
  open.sent = now;
  endpoint.renewal = SendOrder(scheduler, endpoint, open, renewal,
                               wait + kRenewalSlack, actions);
}

}  // namespace

void EnsureRenewal(Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   Millis now,
                   Actions& actions) {
  if (endpoint.renewal != CommandId() ||
      endpoint.status == EndpointStatus::kLost)
    return;
  if (endpoint.unanswered > 0 && now - endpoint.renewal_sent < kRetryPause)
    return;
  if (endpoint.status == EndpointStatus::kSilent) {
    if (now - endpoint.renewal_sent >= kSilentPause || !endpoint.runs.empty())
      SendRenewal(scheduler, endpoint, {}, now, actions);
  } else if (endpoint.status == EndpointStatus::kLooking) {
    // The first look must not wait; later ones wait for stopped runs to end.
    const Millis wait = endpoint.runs.empty() ? Millis() : kRenewalWait;
    SendRenewal(scheduler, endpoint, wait, now, actions);
  } else if (!endpoint.runs.empty()) {
    const Millis wait = endpoint.unanswered > 0 ? Millis() : kRenewalWait;
    SendRenewal(scheduler, endpoint, wait, now, actions);
  }
}

void LookAtOnce(Scheduler& scheduler,
                ManagedEndpoint& endpoint,
                Millis now,
                Actions& actions) {
  SendRenewal(scheduler, endpoint, Millis(), now, actions);
}

void OrderStart(Scheduler& scheduler,
                ManagedEndpoint& endpoint,
                const ScheduledJob& job,
                const JobTask& task,
                Millis expected,
                Millis now,
                Actions& actions) {
  const JobStep& step = job.job.steps[task.step];
  const uint32_t attempt = job.tasks[task.step][task.index].attempt;
  const RunKey key{task, attempt};
  Run run;
  run.resources = step.resources;
  run.ordered_at = now;
  run.confirmed_at = kNotConfirmed;
  run.expected = expected;
  endpoint.used = endpoint.used + run.resources;
  endpoint.runs.emplace(key, run);
  const Millis until = now + kRunLease;
  endpoint.lease_until = std::max(endpoint.lease_until, until);
  ++scheduler.counters.starts;
  OpenOrder open;
  open.sent = now;
  open.kind = OpenOrder::Kind::kStart;
  open.run = key;
  SendOrder(scheduler, endpoint, open,
            StartRun{task, Attempt(attempt), job.job.payload,
                     until + endpoint.clock_ahead.value_or(Millis())},
            kOrderTimeout, actions);
  EnsureRenewal(scheduler, endpoint, now, actions);
}

void OrderStop(Scheduler& scheduler,
               ManagedEndpoint& endpoint,
               const RunKey& key,
               Millis now,
               Actions& actions) {
  Run& run = endpoint.runs.at(key);
  const bool is_stopping = run.state == RunState::kStopping && !run.stop_failed;
  if (is_stopping || endpoint.status == EndpointStatus::kLost)
    return;
  run.state = RunState::kStopping;
  run.stop_sent = now;
  run.stop_failed = false;
  ++scheduler.counters.stops;
  OpenOrder open;
  open.sent = now;
  open.kind = OpenOrder::Kind::kStop;
  open.run = key;
  SendOrder(scheduler, endpoint, open, StopRun{key.first, Attempt(key.second)},
            kOrderTimeout, actions);
}

void RepeatStops(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 Millis now,
                 Actions& actions) {
  std::vector<RunKey> failed;
  for (const auto& [key, run] : endpoint.runs) {
    if (run.stop_failed && now - run.stop_sent >= kRetryPause)
      failed.push_back(key);
  }
  for (const RunKey& key : failed)
    OrderStop(scheduler, endpoint, key, now, actions);
}

}  // namespace dogwoodfall
