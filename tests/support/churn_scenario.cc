#include "churn_scenario.h"

#include <algorithm>

namespace dogwoodfall {
namespace {

constexpr int kEndpointsPerZone = 12;
constexpr Millis kJoinDuration{400};
constexpr Millis kRetransmitAfter{1'300};
constexpr Millis kNever{INT64_MAX};

}  // namespace

ChurnScenario::ChurnScenario(uint32_t seed, const ChurnOptions& options)
    : additional_message_delay(
          [](const DaemonId&, const DaemonId&) { return Millis(); }),
      random(seed) {
  this->world.store_delay = [this](const DaemonId& id) {
    return this->store_delays[id];
  };
  this->world.message_delay = [this](const DaemonId& from, const DaemonId& to) {
    return this->DrawMessageDelay(from, to);
  };
  for (const std::string& zone : options.zones)
    this->AddZone(zone, options);
}

int64_t ChurnScenario::Draw(int64_t lowest, int64_t highest) {
  return std::uniform_int_distribution<int64_t>(lowest, highest)(this->random);
}

std::string ChurnScenario::DrawReadyDaemon() {
  const auto count = static_cast<int64_t>(this->ready_daemons.size());
  return this->ready_daemons[static_cast<size_t>(this->Draw(0, count - 1))];
}

void ChurnScenario::StartDaemons() {
  const Millis now = this->world.now;
  this->ready_daemons.clear();
  for (ChurnDaemon& daemon : this->daemons) {
    if (daemon.starts_at <= now && !this->world.IsRunning(daemon.id)) {
      this->world.StartDaemon(daemon.id, daemon.zone);
      daemon.starts_at = now;
    }
    if (this->world.IsRunning(daemon.id) &&
        daemon.starts_at + kJoinDuration <= now)
      this->ready_daemons.push_back(daemon.id);
  }
}

void ChurnScenario::KillDaemon(const std::string& id) {
  this->world.KillDaemon(id);
  this->ready_daemons.erase(
      std::remove(this->ready_daemons.begin(), this->ready_daemons.end(), id),
      this->ready_daemons.end());
  for (ChurnCaller& caller : this->callers) {
    if (caller.daemon != id || caller.token == CallerToken())
      continue;
    caller.token = CallerToken();
    caller.repeats_at = this->world.now + kRetransmitAfter;
  }
}

void ChurnScenario::SetNextStart(const std::string& id, Millis starts_at) {
  for (ChurnDaemon& daemon : this->daemons) {
    if (daemon.id == id)
      daemon.starts_at = starts_at;
  }
}

ChurnCaller& ChurnScenario::Submit(const std::string& daemon,
                                   const std::string& job,
                                   const JobShape& shape) {
  const CallerToken token =
      this->world.Submit(daemon, job, shape.task_count, shape.run_time);
  this->callers.push_back({daemon, token, job, kNever, kNever});
  return this->callers.back();
}

void ChurnScenario::LetCallerLeave(ChurnCaller& caller) {
  caller.leaves_at = this->world.now + Millis{this->Draw(0, 300)};
  caller.repeats_at = caller.leaves_at + kRetransmitAfter;
}

void ChurnScenario::LetCallerRepeat(ChurnCaller& caller) {
  caller.repeats_at = this->world.now + kRetransmitAfter;
}

std::vector<std::string> ChurnScenario::UpdateCallers() {
  std::vector<std::string> repeats;
  for (ChurnCaller& caller : this->callers) {
    if (caller.leaves_at <= this->world.now && caller.token != CallerToken()) {
      this->world.Disconnect(caller.daemon, caller.token);
      caller.token = CallerToken();
    }
    if (caller.repeats_at <= this->world.now) {
      caller.repeats_at = kNever;
      repeats.push_back(caller.job);
    }
  }
  return repeats;
}

void ChurnScenario::AddZone(const std::string& zone,
                            const ChurnOptions& options) {
  for (int i = 0; i < options.daemons_per_zone; ++i) {
    const std::string id = zone + std::to_string(i);
    const Millis store_delay{this->Draw(0, 3) == 0 ? this->Draw(0, 300) : 0};
    const bool is_first = i < options.first_daemons_per_zone;
    const Millis start_delay{is_first ? 0 : 3'000 + this->Draw(0, 2'500)};
    this->store_delays[DaemonId(id)] = store_delay;
    this->daemons.push_back({id, zone, this->world.now + start_delay});
  }
  for (int i = 0; i < kEndpointsPerZone; ++i) {
    const std::string id = zone + "-e" + std::to_string(i);
    this->world.AddEndpoint(id, zone);
    this->world.endpoints.at(EndpointId(id)).stop_duration =
        options.stop_duration;
  }
}

Millis ChurnScenario::DrawMessageDelay(const DaemonId& from,
                                       const DaemonId& to) {
  const Millis delay{this->Draw(0, 9) == 0 ? this->Draw(0, 40) : 0};
  Millis& arrival = this->last_arrivals[{from, to}];
  arrival = std::max(arrival, this->world.now + delay +
                                  this->additional_message_delay(from, to));
  return arrival - this->world.now;
}

}  // namespace dogwoodfall
