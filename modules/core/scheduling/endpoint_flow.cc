#include "core/scheduling/endpoint_flow.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_order.h"
#include "core/scheduling/run_review.h"
#include "core/scheduling/speed_learning.h"

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
/** How long runs found on an endpoint wait for their job to come again: word of
 * a takeover and the job need two round trips.
 */
constexpr Millis kClaimWindow{250};
/** First and longest pause after an endpoint says that it is unhealthy. */
constexpr Millis kFirstAvoidPause{100};
constexpr Millis kLongestAvoidPause{2'000};
/** Time of a run's confirmation while there is none: later than all lists. */
constexpr Millis kNotConfirmed{std::numeric_limits<int64_t>::max()};
/** Unanswered orders in a row after which an endpoint counts as silent. */
constexpr uint32_t kSilentAfter = 2;
/** Pause between looks at a silent endpoint, in ms. */
constexpr Millis kSilentPause{300};

void SetStanding(ManagedEndpoint& endpoint,
                 EndpointStanding standing,
                 const char* cause,
                 Millis now,
                 Actions& actions) {
  if (endpoint.standing == standing)
    return;
  endpoint.standing = standing;
  endpoint.standing_since = now;
  actions.push_back(
      LogEvent{"endpoint_standing",
               {{"endpoint", endpoint.entry.id.value},
                {"standing", std::to_string(static_cast<int>(standing))},
                {"cause", cause},
                {"token", std::to_string(endpoint.fencing_token)},
                {"runs", std::to_string(endpoint.runs.size())},
                {"unanswered", std::to_string(endpoint.unanswered)}}});
}

OrderId SendOrder(Scheduler& scheduler,
                  const ManagedEndpoint& endpoint,
                  OpenOrder open,
                  std::variant<StartRun, StopRun, RenewRuns> order,
                  Millis timeout,
                  Actions& actions) {
  const OrderId id(++scheduler.last_order);
  open.endpoint = endpoint.entry.id;
  open.fencing_token = endpoint.fencing_token;
  scheduler.orders.emplace(id, std::move(open));
  actions.push_back(CallEndpoint{{id, endpoint.entry.id, endpoint.entry.ip,
                                  endpoint.entry.port, endpoint.fencing_token,
                                  timeout, std::move(order)}});
  return id;
}

bool HasUnclaimed(const ManagedEndpoint& endpoint) {
  return std::any_of(endpoint.runs.begin(), endpoint.runs.end(),
                     [](const auto& entry) {
                       return entry.second.state == RunState::kUnclaimed;
                     });
}

/** True while something of a former owner runs that no job here wants. */
bool HasForeignRun(const ManagedEndpoint& endpoint) {
  return std::any_of(
      endpoint.runs.begin(), endpoint.runs.end(),
      [](const auto& entry) { return entry.second.room == TaskRoom(); });
}

bool HasOwnRun(const ManagedEndpoint& endpoint) {
  return std::any_of(endpoint.runs.begin(), endpoint.runs.end(),
                     [](const auto& entry) {
                       return entry.second.room.cpu_millicores > 0 ||
                              entry.second.room.memory_mb > 0;
                     });
}

/** Forgets a run that is over and gives its room back. */
void DropRun(ManagedEndpoint& endpoint, const RunKey& key) {
  const auto run = endpoint.runs.find(key);
  if (run == endpoint.runs.end())
    return;
  endpoint.used = endpoint.used - run->second.room;
  endpoint.runs.erase(run);
}

/** All runs of an endpoint are over without a listed end. */
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
  endpoint.used = TaskRoom();
  for (const auto& [key, run] : lost) {
    if (run.requeue)
      RequeueTask(scheduler, key, now);
  }
}

void SendRenewal(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 Millis wait,
                 Millis now,
                 Actions& actions) {
  RenewRuns renewal;
  renewal.ends_seen = endpoint.ends_seen;
  renewal.wait = wait;
  // What a former owner started lasts no longer for being looked at, and what a
  // silent endpoint runs has to end before it can run elsewhere.
  if (endpoint.clock_ahead && HasOwnRun(endpoint) &&
      endpoint.standing != EndpointStanding::kSilent) {
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

/** Keeps one renewal under way wherever something runs or is to be learned. */
void EnsureRenewal(Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   Millis now,
                   Actions& actions) {
  if (endpoint.renewal != OrderId() ||
      endpoint.standing == EndpointStanding::kLost)
    return;
  if (endpoint.standing == EndpointStanding::kSilent) {
    if (now - endpoint.renewal_sent >= kSilentPause || !endpoint.runs.empty())
      SendRenewal(scheduler, endpoint, {}, now, actions);
  } else if (endpoint.standing == EndpointStanding::kLooking) {
    // The first look must not wait; later ones wait for stopped runs to end.
    const Millis wait = endpoint.runs.empty() ? Millis() : kRenewalWait;
    SendRenewal(scheduler, endpoint, wait, now, actions);
  } else if (!endpoint.runs.empty()) {
    const Millis wait = endpoint.unanswered > 0 ? Millis() : kRenewalWait;
    SendRenewal(scheduler, endpoint, wait, now, actions);
  }
}

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
      endpoint.standing == EndpointStanding::kUsable) {
    SetStanding(endpoint, EndpointStanding::kSilent, "unanswered", now,
                actions);
  }
}

/** Another life of the endpoint answers: nothing of before is there. */
void MeetNewLife(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 int64_t born_ms,
                 Millis now,
                 Actions& actions) {
  LoseAllRuns(scheduler, endpoint, "new_life", now, actions);
  endpoint.born_ms = born_ms;
  endpoint.ends_seen = 0;
  endpoint.slowness = 1;
  endpoint.failure_share = 0;
}

void TakeEnds(Scheduler& scheduler,
              ManagedEndpoint& endpoint,
              const EndpointReply& reply,
              Millis now,
              Actions& actions) {
  for (const ListedEnd& end : reply.ended) {
    if (end.number <= endpoint.ends_seen)
      continue;
    endpoint.ends_seen = end.number;
    ++scheduler.counters.run_ends[static_cast<size_t>(end.end)];
    const RunKey key{end.task, end.attempt.value};
    const auto found = endpoint.runs.find(key);
    const bool is_known = found != endpoint.runs.end();
    const Run run = is_known ? found->second : Run();
    DropRun(endpoint, key);
    if (end.end != RunEnd::kDone) {
      actions.push_back(
          LogEvent{"run_ended",
                   {{"job", end.task.job.value},
                    {"task", PlaceOf(end.task)},
                    {"attempt", std::to_string(end.attempt.value)},
                    {"endpoint", endpoint.entry.id.value},
                    {"kind", endpoint.entry.kind},
                    {"slowness", std::to_string(endpoint.slowness)},
                    {"percent", std::to_string(run.percent)},
                    {"expected_ms", std::to_string(run.expected.count)},
                    {"how", NameOf(end.end)},
                    {"ran_ms", std::to_string((now - run.ordered_at).count)}}});
    }
    if (end.end == RunEnd::kDone) {
      LearnFromSuccess(endpoint);
      const Millis run_time = is_known ? now - run.ordered_at : Millis();
      NoteTaskDone(scheduler, end.task, run_time, now, actions);
      continue;
    }
    if (end.end == RunEnd::kFailed && is_known) {
      LearnFromFailure(endpoint);
      NoteTaskFailed(scheduler, end.task, now, actions);
    }
    if (run.requeue)
      RequeueTask(scheduler, key, now);
  }
}

/** Compares the list of runs with what is known. */
void TakeRunning(Scheduler& scheduler,
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
    if (endpoint.standing == EndpointStanding::kLooking &&
        (FindTask(scheduler, key.first) == nullptr ||
         ClaimRun(scheduler, endpoint, key)))
      continue;
    OrderStop(scheduler, endpoint, key, now, actions);
  }
}

void TakeRenewal(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 const EndpointReply& reply,
                 const OpenOrder& order,
                 Millis now,
                 Actions& actions) {
  if (endpoint.born_ms != 0 && reply.born_ms != 0 &&
      endpoint.born_ms != reply.born_ms)
    MeetNewLife(scheduler, endpoint, reply.born_ms, now, actions);
  endpoint.born_ms = reply.born_ms;
  TakeEnds(scheduler, endpoint, reply, now, actions);
  TakeRunning(scheduler, endpoint, reply, order.sent, now, actions);
  if (endpoint.standing == EndpointStanding::kSilent)
    SetStanding(endpoint, EndpointStanding::kUsable, "answers", now, actions);
  if (endpoint.standing == EndpointStanding::kLooking &&
      !HasForeignRun(endpoint)) {
    if (endpoint.runs.empty())
      endpoint.lease_until = now;
    SetStanding(endpoint, EndpointStanding::kUsable, "looked", now, actions);
  }
}

void TakeStart(Scheduler& scheduler,
               ManagedEndpoint& endpoint,
               const EndpointReply& reply,
               const OpenOrder& order,
               Millis now,
               Actions& actions) {
  ++scheduler.counters.start_outcomes[static_cast<size_t>(reply.outcome)];
  const auto found = endpoint.runs.find(order.run);
  if (found == endpoint.runs.end())
    return;  // Its end was listed before the answer to its start came.
  Run& run = found->second;
  if (reply.outcome == OrderOutcome::kDone) {
    run.confirmed_at = now;
    if (run.state == RunState::kStarting)
      run.state = RunState::kRunning;
    endpoint.avoid_pause = Millis();
    return;
  }
  actions.push_back(
      LogEvent{"start_not_done",
               {{"job", order.run.first.job.value},
                {"task", PlaceOf(order.run.first)},
                {"attempt", std::to_string(order.run.second)},
                {"endpoint", endpoint.entry.id.value},
                {"outcome", NameOf(reply.outcome)},
                {"waited_ms", std::to_string((now - order.sent).count)}}});
  if (reply.outcome == OrderOutcome::kUnanswered) {
    OrderStop(scheduler, endpoint, order.run, now, actions);
    return;
  }
  const bool requeue = run.requeue;
  DropRun(endpoint, order.run);
  if (reply.outcome == OrderOutcome::kMalformed) {
    EndJob(scheduler, order.run.first.job,
           {JobEnd::kFailed, {}, "endpoint_can_not_read_it"}, now, actions);
    return;
  }
  if (reply.outcome == OrderOutcome::kUnhealthy) {
    endpoint.avoid_pause =
        std::clamp(endpoint.avoid_pause + endpoint.avoid_pause,
                   kFirstAvoidPause, kLongestAvoidPause);
    endpoint.avoid_until = now + endpoint.avoid_pause;
  }
  if (reply.outcome == OrderOutcome::kNoRoom) {
    // Something runs there that is not known; the next list shows it.
    endpoint.avoid_until = now + kFirstAvoidPause;
  }
  if (requeue)
    RequeueTask(scheduler, order.run, now);
}

void TakeStop(Scheduler& scheduler,
              ManagedEndpoint& endpoint,
              const EndpointReply& reply,
              const OpenOrder& order,
              Millis now,
              Actions& actions) {
  const auto found = endpoint.runs.find(order.run);
  if (found == endpoint.runs.end())
    return;
  Run& run = found->second;
  if (reply.outcome == OrderOutcome::kDone) {
    // It ends within 50 ms, or was never there and will not start any more:
    // lists that are asked for from now on tell.
    run.confirmed_at = std::min(run.confirmed_at, now);
    return;
  }

  run.state = RunState::kRunning;
  OrderStop(scheduler, endpoint, order.run, now, actions);
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
    case OrderOutcome::kUnanswered:
      NoteUnanswered(endpoint, now, actions);
      return false;
    case OrderOutcome::kFenced:
      SetStanding(endpoint, EndpointStanding::kLost, "fenced", now, actions);
      return false;
    case OrderOutcome::kNoListener:
    case OrderOutcome::kOtherIncarnation:
      LoseAllRuns(scheduler, endpoint, NameOf(reply.outcome), now, actions);
      endpoint.unanswered = kSilentAfter;
      endpoint.ends_seen = 0;
      endpoint.born_ms = 0;
      SetStanding(endpoint, EndpointStanding::kSilent, NameOf(reply.outcome),
                  now, actions);
      return true;
    default:
      NoteAnswered(endpoint, reply, now);
      return false;
  }
}

/** Ends that can no longer be learned: the lease has run out unrenewed. */
void ExpireLease(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 Millis now,
                 Actions& actions) {
  // The endpoint's clock may be 2 % slow.
  constexpr Millis kClockSlack{50};
  const bool is_over = endpoint.lease_until + kClockSlack < now;
  const bool is_out = endpoint.standing == EndpointStanding::kSilent ||
                      endpoint.standing == EndpointStanding::kLost;
  if (is_out && is_over)
    LoseAllRuns(scheduler, endpoint, "lease_ended", now, actions);
}

}  // namespace

void TakeEndpoint(Scheduler& scheduler,
                  const EndpointEntry& entry,
                  const EndpointGroup& group,
                  uint64_t fencing_token,
                  Millis now,
                  Actions& actions) {
  const auto known = scheduler.endpoints.find(entry.id);
  const bool is_new_token = known != scheduler.endpoints.end() &&
                            known->second.standing == EndpointStanding::kLost &&
                            known->second.fencing_token < fencing_token;
  if (known != scheduler.endpoints.end() && !is_new_token) {
    UpdateEndpoint(scheduler, entry, now, actions);
    return;
  }
  ManagedEndpoint& endpoint = scheduler.endpoints[entry.id];
  endpoint.entry = entry;
  endpoint.group = group;
  endpoint.is_listed = true;
  endpoint.fencing_token = fencing_token;
  // What the former owner started there may go on for this long.
  endpoint.lease_until = std::max(endpoint.lease_until, now + kLongestLease);
  endpoint.renewal = OrderId();
  endpoint.unanswered = 0;

  endpoint.standing = EndpointStanding::kUsable;
  SetStanding(endpoint, EndpointStanding::kLooking, "taken_over", now, actions);
  EnsureRenewal(scheduler, endpoint, now, actions);
}

void UpdateEndpoint(Scheduler& scheduler,
                    const EndpointEntry& entry,
                    Millis now,
                    Actions& actions) {
  const auto known = scheduler.endpoints.find(entry.id);
  if (known == scheduler.endpoints.end())
    return;
  ManagedEndpoint& endpoint = known->second;
  if (entry.born_ms != 0 && endpoint.born_ms != 0 &&
      entry.born_ms > endpoint.born_ms) {
    MeetNewLife(scheduler, endpoint, entry.born_ms, now, actions);
    endpoint.unanswered = 0;
    SetStanding(endpoint, EndpointStanding::kLooking, "new_life", now, actions);
  }
  endpoint.entry = entry;
  endpoint.is_listed = true;
  EnsureRenewal(scheduler, endpoint, now, actions);
}

void UnlistEndpoint(Scheduler& scheduler,
                    const EndpointId& id,
                    Millis now,
                    Actions& actions) {
  const auto known = scheduler.endpoints.find(id);
  if (known == scheduler.endpoints.end())
    return;
  known->second.is_listed = false;
  actions.push_back(
      LogEvent{"endpoint_unlisted",
               {{"endpoint", id.value},
                {"runs", std::to_string(known->second.runs.size())}}});
  if (known->second.runs.empty())
    ReleaseEndpoint(scheduler, id, now);
}

void ReleaseEndpoint(Scheduler& scheduler, const EndpointId& id, Millis now) {
  const auto known = scheduler.endpoints.find(id);
  if (known == scheduler.endpoints.end())
    return;
  const std::map<RunKey, Run> runs = std::move(known->second.runs);
  scheduler.endpoints.erase(known);
  for (const auto& [key, run] : runs) {
    if (run.requeue)
      RequeueUnseenTask(scheduler, key, now);
  }
}

bool IsLooking(const Scheduler& scheduler,
               const EndpointGroup& group,
               Millis now) {
  return std::any_of(scheduler.endpoints.begin(), scheduler.endpoints.end(),
                     [&group, now](const auto& entry) {
                       const ManagedEndpoint& endpoint = entry.second;
                       return endpoint.group == group &&
                              endpoint.standing == EndpointStanding::kLooking &&
                              now - endpoint.standing_since < kLongestLease;
                     });
}

void AwaitLook(ManagedEndpoint& endpoint, Millis now) {
  if (endpoint.standing != EndpointStanding::kLooking)
    return;
  endpoint.standing_since = now;
  endpoint.lease_until = std::max(endpoint.lease_until, now + kLongestLease);
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
  run.room = step.room;
  run.ordered_at = now;
  run.confirmed_at = kNotConfirmed;
  run.expected = expected;
  endpoint.used = endpoint.used + run.room;
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
  if (run.state == RunState::kStopping ||
      endpoint.standing == EndpointStanding::kLost)
    return;
  run.state = RunState::kStopping;
  ++scheduler.counters.stops;
  OpenOrder open;
  open.sent = now;
  open.kind = OpenOrder::Kind::kStop;
  open.run = key;
  SendOrder(scheduler, endpoint, open, StopRun{key.first, Attempt(key.second)},
            kOrderTimeout, actions);
}

void TakeEndpointReply(Scheduler& scheduler,
                       const EndpointReply& reply,
                       Millis now,
                       Actions& actions) {
  const auto found = scheduler.orders.find(reply.id);
  if (found == scheduler.orders.end())
    return;
  const OpenOrder order = found->second;
  scheduler.orders.erase(found);
  const auto owned = scheduler.endpoints.find(order.endpoint);
  if (owned == scheduler.endpoints.end() ||
      owned->second.fencing_token != order.fencing_token)
    return;
  ManagedEndpoint& endpoint = owned->second;
  if (endpoint.renewal == reply.id)
    endpoint.renewal = OrderId();
  if (!TakeCommonOutcome(scheduler, endpoint, reply, now, actions)) {
    if (order.kind == OpenOrder::Kind::kStart)
      TakeStart(scheduler, endpoint, reply, order, now, actions);
    else if (order.kind == OpenOrder::Kind::kStop)
      TakeStop(scheduler, endpoint, reply, order, now, actions);
    else if (reply.outcome == OrderOutcome::kDone)
      TakeRenewal(scheduler, endpoint, reply, order, now, actions);
  }
  if (!endpoint.is_listed && endpoint.runs.empty())
    ReleaseEndpoint(scheduler, order.endpoint, now);
  else
    EnsureRenewal(scheduler, endpoint, now, actions);
  PlaceTasks(scheduler, now, actions);
}

void ReviewEndpoints(Scheduler& scheduler, Millis now, Actions& actions) {
  ReviewSpeeds(scheduler, now);
  EndHopelessJobs(scheduler, now, actions);
  for (auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.standing == EndpointStanding::kLooking &&
        HasUnclaimed(endpoint) &&
        now - endpoint.standing_since >= kClaimWindow) {
      std::vector<RunKey> unclaimed;
      for (const auto& [key, run] : endpoint.runs) {
        if (run.state == RunState::kUnclaimed)
          unclaimed.push_back(key);
      }
      for (const RunKey& key : unclaimed)
        OrderStop(scheduler, endpoint, key, now, actions);
    }
    ExpireLease(scheduler, endpoint, now, actions);
    StopOverdueRuns(scheduler, endpoint, now, actions);
    EnsureRenewal(scheduler, endpoint, now, actions);
  }
  PlaceTasks(scheduler, now, actions);
}

}  // namespace dogwoodfall
