#include "fake_endpoint.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace dogwoodfall {
namespace {

/** Extends the lease of an endpoint; leases are never shortened. */
void ExtendLease(FakeEndpoint& endpoint, Millis lease_until, Millis now) {
  const Millis longest = ReadClock(endpoint, now) + kMaxEndpointLease;
  endpoint.lease_until =
      std::max(endpoint.lease_until, std::min(lease_until, longest));
}

void ForgetFormerLife(FakeEndpoint& endpoint) {
  endpoint.max_fencing_token = 0;
  endpoint.last_end_number = 0;
  endpoint.lease_until = Millis();
  endpoint.running.clear();
  endpoint.closed_attempts.clear();
  endpoint.ended.clear();
}

void EndRun(FakeEndpoint& endpoint, const RunKey& key, RunResult result) {
  endpoint.running.erase(key);
  uint32_t& closed = endpoint.closed_attempts[key.first];
  closed = std::max(closed, key.second);
  endpoint.ended.push_back(
      {++endpoint.last_end_number, key.first, Attempt(key.second), result});
}

TaskResources UsedBy(const FakeEndpoint& endpoint) {
  TaskResources used;
  for (const auto& [key, run] : endpoint.running)
    used = used + run.resources;
  return used;
}

bool HasPrefix(const JobTask& task, const std::string& prefix) {
  return !prefix.empty() &&
         task.job.value.compare(0, prefix.size(), prefix) == 0;
}

void RecordCapacityViolation(FakeEndpoint& endpoint,
                             const RunKey& key,
                             const TaskResources& resources,
                             Millis now) {
  const TaskResources total = UsedBy(endpoint) + resources;
  const bool is_in_grace =
      endpoint.capacity_changed_at != Millis() &&
      now - endpoint.capacity_changed_at < kCapacityReductionGrace &&
      Fits(total, endpoint.previous_capacity);
  if (!is_in_grace && !Fits(total, endpoint.entry.capacity))
    endpoint.starts_over_capacity.push_back(key);
}

CommandOutcome Start(FakeEndpoint& endpoint,
                     const StartRun& start,
                     Millis nominal_run_time,
                     const TaskResources& resources,
                     Millis now) {
  const RunKey key{start.task, start.attempt.value};
  if (endpoint.rejects_starts)
    return CommandOutcome::kMalformed;
  ExtendLease(endpoint, start.lease_until, now);
  if (endpoint.running.count(key) > 0)
    return CommandOutcome::kDone;
  const auto closed = endpoint.closed_attempts.find(start.task);
  if (closed != endpoint.closed_attempts.end() && closed->second >= key.second)
    return CommandOutcome::kStaleAttempt;
  if (start.lease_until <= ReadClock(endpoint, now))
    return CommandOutcome::kLeaseExpired;
  if (endpoint.checks_admission &&
      !Fits(resources, endpoint.entry.capacity - UsedBy(endpoint)))
    return CommandOutcome::kInsufficientResources;
  RecordCapacityViolation(endpoint, key, resources, now);
  ++endpoint.starts;
  const Millis run_time{std::llround(
      endpoint.slowness * static_cast<double>(nominal_run_time.count))};
  constexpr Millis kFailureDelay{25};
  endpoint.running[key] = {now, run_time, resources};
  if (endpoint.fails_all || HasPrefix(start.task, endpoint.failing_job_prefix))
    endpoint.running[key] = {now, kFailureDelay, resources, RunResult::kFailed};
  constexpr Millis kCrashDelay{12};
  if (start.task.step == 0 && start.task.index == 0 &&
      HasPrefix(start.task, endpoint.crashing_job_prefix)) {
    endpoint.running[key] = {now, kCrashDelay, resources};
    endpoint.running[key].crashes = true;
  }
  return CommandOutcome::kDone;
}

void Stop(FakeEndpoint& endpoint, const StopRun& stop, Millis now) {
  const RunKey key{stop.task, stop.attempt.value};
  const auto run = endpoint.running.find(key);
  if (run != endpoint.running.end()) {
    const Millis stopped_after =
        now - run->second.started_at + endpoint.stop_duration;
    if (stopped_after < run->second.run_time) {
      run->second.run_time = stopped_after;
      run->second.result = RunResult::kStopped;
      run->second.crashes = false;
    }
    AdvanceFakeEndpoint(endpoint, now);
  }
  uint32_t& closed = endpoint.closed_attempts[stop.task];
  closed = std::max(closed, key.second);
}

void ListRuns(FakeEndpoint& endpoint,
              const RenewRuns& renewal,
              Millis now,
              EndpointReply& reply) {
  constexpr double kFullPercent = 100;
  if (renewal.lease_until)
    ExtendLease(endpoint, *renewal.lease_until, now);
  auto& ended = endpoint.ended;
  ended.erase(std::remove_if(ended.begin(), ended.end(),
                             [&renewal](const EndedRun& run) {
                               return run.number <= renewal.acknowledged_ends;
                             }),
              ended.end());
  reply.ended = ended;
  for (const auto& [key, run] : endpoint.running) {
    const double percent =
        kFullPercent * static_cast<double>((now - run.started_at).count) /
        static_cast<double>(std::max<int64_t>(run.run_time.count, 1));
    reply.running.push_back(
        {key.first, Attempt(key.second), static_cast<int>(percent)});
  }
}

/** Delays the runs by the factors of their run times since the last call. */
void DelayRuns(FakeEndpoint& endpoint, Millis now) {
  const Millis since = std::exchange(endpoint.advanced_at, now);
  for (auto& [key, run] : endpoint.running) {
    const auto elapsed_ms =
        static_cast<double>((now - std::max(since, run.started_at)).count);
    run.delay_ms +=
        elapsed_ms * (1 - 1 / endpoint.run_time_factor(endpoint, key));
    const double whole_ms = std::trunc(run.delay_ms);
    run.delay_ms -= whole_ms;
    run.run_time = run.run_time + Millis{std::llround(whole_ms)};
  }
}

}  // namespace

void ChangeCapacity(FakeEndpoint& endpoint,
                    const TaskResources& capacity,
                    Millis now) {
  endpoint.previous_capacity = endpoint.entry.capacity;
  endpoint.capacity_changed_at = now;
  endpoint.entry.capacity = capacity;
}

Millis ReadClock(const FakeEndpoint& endpoint, Millis now) {
  const auto elapsed = static_cast<double>((now - endpoint.clock_set_at).count);
  return endpoint.clock_at_start.value_or(endpoint.clock_set_at) +
         Millis{std::llround(endpoint.clock_rate * elapsed)};
}

void AdvanceFakeEndpoint(FakeEndpoint& endpoint, Millis now) {
  if (endpoint.run_time_factor)
    DelayRuns(endpoint, now);
  const bool is_lease_expired =
      endpoint.lease_until <= ReadClock(endpoint, now);
  std::vector<std::pair<RunKey, RunResult>> finished;
  for (const auto& [key, run] : endpoint.running) {
    if (run.crashes && run.started_at + run.run_time <= now) {
      CrashFakeEndpoint(endpoint, now);
      return;
    }
    if (run.started_at + run.run_time <= now)
      finished.emplace_back(key, run.result);
    else if (is_lease_expired)
      finished.emplace_back(key, RunResult::kLeaseEnded);
  }
  for (const auto& [key, result] : finished)
    EndRun(endpoint, key, result);
}

void CrashFakeEndpoint(FakeEndpoint& endpoint, Millis now) {
  constexpr Millis kRestartTime{3'000};
  ++endpoint.crashes;
  endpoint.down_until = now + kRestartTime;
  endpoint.started_at_ms = endpoint.down_until.count;
  ForgetFormerLife(endpoint);
}

void RestartFakeEndpoint(FakeEndpoint& endpoint, Millis back_at) {
  endpoint.down_until = back_at;
  endpoint.started_at_ms = back_at.count;
  endpoint.clock_set_at = back_at;
  endpoint.clock_at_start = Millis();
  ForgetFormerLife(endpoint);
}

EndpointReply ExecuteCommand(FakeEndpoint& endpoint,
                             const EndpointCommand& command,
                             Millis nominal_run_time,
                             const TaskResources& resources,
                             Millis now) {
  AdvanceFakeEndpoint(endpoint, now);
  EndpointReply reply;
  reply.id = command.id;
  if (endpoint.rejects_commands) {
    reply.outcome = CommandOutcome::kMalformed;
    return reply;
  }
  reply.clock = ReadClock(endpoint, now);
  reply.started_at_ms = endpoint.started_at_ms;
  reply.outcome = CommandOutcome::kDone;
  if (command.fencing_token < endpoint.max_fencing_token) {
    reply.outcome = CommandOutcome::kFenced;
    return reply;
  }
  endpoint.max_fencing_token = command.fencing_token;
  if (const auto* start = std::get_if<StartRun>(&command.command))
    reply.outcome = Start(endpoint, *start, nominal_run_time, resources, now);
  else if (const auto* stop = std::get_if<StopRun>(&command.command))
    Stop(endpoint, *stop, now);
  else
    ListRuns(endpoint, std::get<RenewRuns>(command.command), now, reply);
  return reply;
}

}  // namespace dogwoodfall
