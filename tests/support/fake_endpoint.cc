#include "fake_endpoint.h"

#include <algorithm>
#include <cmath>
#include <variant>

namespace dogwoodfall {
namespace {

void EndRun(FakeEndpoint& endpoint, const RunKey& key, RunResult how) {
  endpoint.running.erase(key);
  uint32_t& closed = endpoint.closed_attempts[key.first];
  closed = std::max(closed, key.second);
  endpoint.ended.push_back(
      {++endpoint.last_end, key.first, Attempt(key.second), how});
}

TaskResources UsedBy(const FakeEndpoint& endpoint) {
  TaskResources used;
  for (const auto& [key, run] : endpoint.running)
    used = used + run.resources;
  return used;
}

CommandOutcome Start(FakeEndpoint& endpoint,
                     const StartRun& start,
                     Millis nominal,
                     const TaskResources& resources,
                     Millis now) {
  const RunKey key{start.task, start.attempt.value};
  endpoint.lease_until = std::max(endpoint.lease_until, start.lease_until);
  if (endpoint.running.count(key) > 0)
    return CommandOutcome::kDone;
  const auto closed = endpoint.closed_attempts.find(start.task);
  if (closed != endpoint.closed_attempts.end() && closed->second >= key.second)
    return CommandOutcome::kStaleAttempt;
  if (start.lease_until <= now)
    return CommandOutcome::kLeaseExpired;
  if (!Fits(resources, endpoint.entry.capacity - UsedBy(endpoint)))
    return CommandOutcome::kInsufficientResources;
  ++endpoint.starts;
  const Millis length{
      std::llround(endpoint.slowness * static_cast<double>(nominal.count))};
  constexpr Millis kFailsAfter{25};
  endpoint.running[key] = {now, length, resources};
  const std::string& bad = endpoint.failing_jobs;
  const bool is_bad_job =
      !bad.empty() && start.task.job.value.compare(0, bad.size(), bad) == 0;
  if (endpoint.fails_all || is_bad_job)
    endpoint.running[key] = {now, kFailsAfter, resources, RunResult::kFailed};
  return CommandOutcome::kDone;
}

void Stop(FakeEndpoint& endpoint, const StopRun& stop) {
  const RunKey key{stop.task, stop.attempt.value};
  if (endpoint.running.count(key) > 0)
    EndRun(endpoint, key, RunResult::kStopped);
  uint32_t& closed = endpoint.closed_attempts[stop.task];
  closed = std::max(closed, key.second);
}

void List(FakeEndpoint& endpoint,
          const RenewRuns& renewal,
          Millis now,
          EndpointReply& reply) {
  constexpr double kWhole = 100;
  if (renewal.lease_until)
    endpoint.lease_until = std::max(endpoint.lease_until, *renewal.lease_until);
  auto& ended = endpoint.ended;
  ended.erase(std::remove_if(ended.begin(), ended.end(),
                             [&renewal](const EndedRun& end) {
                               return end.number <= renewal.acknowledged_ends;
                             }),
              ended.end());
  reply.ended = ended;
  for (const auto& [key, run] : endpoint.running) {
    const double done =
        kWhole * static_cast<double>((now - run.started).count) /
        static_cast<double>(std::max<int64_t>(run.length.count, 1));
    reply.running.push_back(
        {key.first, Attempt(key.second), static_cast<int>(done)});
  }
}

}  // namespace

void AdvanceFakeEndpoint(FakeEndpoint& endpoint, Millis now) {
  const bool lease_over = endpoint.lease_until <= now;
  std::vector<std::pair<RunKey, RunResult>> over;
  for (const auto& [key, run] : endpoint.running) {
    if (run.started + run.length <= now)
      over.emplace_back(key, run.end);
    else if (lease_over)
      over.emplace_back(key, RunResult::kLeaseEnded);
  }
  for (const auto& [key, how] : over)
    EndRun(endpoint, key, how);
}

EndpointReply ExecuteCommand(FakeEndpoint& endpoint,
                             const EndpointCommand& command,
                             Millis nominal,
                             const TaskResources& resources,
                             Millis now) {
  AdvanceFakeEndpoint(endpoint, now);
  EndpointReply reply;
  reply.id = command.id;
  reply.clock = now;
  reply.started_at_ms = endpoint.started_at_ms;
  reply.outcome = CommandOutcome::kDone;
  if (command.fencing_token < endpoint.highest_token) {
    reply.outcome = CommandOutcome::kFenced;
    return reply;
  }
  endpoint.highest_token = command.fencing_token;
  if (const auto* start = std::get_if<StartRun>(&command.command))
    reply.outcome = Start(endpoint, *start, nominal, resources, now);
  else if (const auto* stop = std::get_if<StopRun>(&command.command))
    Stop(endpoint, *stop);
  else
    List(endpoint, std::get<RenewRuns>(command.command), now, reply);
  return reply;
}

}  // namespace dogwoodfall
