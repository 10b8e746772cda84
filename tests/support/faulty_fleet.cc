#include "faulty_fleet.h"

#include <algorithm>
#include <iterator>

namespace dogwoodfall {
namespace {

ChurnOptions ChurnOptionsOf(const FaultOptions& options) {
  ChurnOptions churn;
  churn.zones = options.zones;
  churn.daemons_per_zone = options.daemons_per_zone;
  churn.first_daemons_per_zone = 3;
  churn.stop_duration = options.stop_duration;
  return churn;
}

/** Returns the delay of an event that comes after all earlier ones. */
Millis DelayInOrder(Millis now, Millis delay, Millis& last_arrival) {
  last_arrival = std::max(last_arrival, now + delay);
  return last_arrival - now;
}

}  // namespace

FaultOptions AllFaults() {
  FaultOptions options;
  options.faults = {DaemonFault::kKill,           DaemonFault::kPause,
                    DaemonFault::kCutFromDaemons, DaemonFault::kCutFromStore,
                    DaemonFault::kDeregister,     DaemonFault::kStop};
  options.loses_answers = true;
  return options;
}

FaultOptions AllFaultsOfDaemonsAndEndpoints() {
  FaultOptions options = AllFaults();
  options.endpoint_faults = {EndpointFault::kExecutesLate, EndpointFault::kCut,
                             EndpointFault::kCutAndRestart,
                             EndpointFault::kRestart};
  options.renews_leases_in_pauses = true;
  return options;
}

FaultOptions RareFaultsAndRepeats() {
  FaultOptions options = AllFaults();
  options.rounds_per_fault = 60;
  options.has_silent_repeats = true;
  return options;
}

FaultOptions SlowDaemons() {
  FaultOptions options;
  options.daemons_per_zone = 5;
  options.faults = {DaemonFault::kSlow, DaemonFault::kSlow, DaemonFault::kSlow,
                    DaemonFault::kSlowZone};
  options.loses_answers = true;
  options.has_silent_repeats = true;
  return options;
}

FaultOptions HeldUpFrames() {
  FaultOptions options = RareFaultsAndRepeats();
  options.faults = {DaemonFault::kCutFromDaemons, DaemonFault::kCutFromDaemons,
                    DaemonFault::kCutFromStore, DaemonFault::kCutZone,
                    DaemonFault::kKill};
  options.holds_up_frames = true;
  return options;
}

FaultOptions ThreeZones() {
  FaultOptions options = RareFaultsAndRepeats();
  options.zones = {"north", "south", "west"};
  options.daemons_per_zone = 5;
  options.faults.insert(options.faults.end(), 3,
                        DaemonFault::kCutZoneFromAnother);
  return options;
}

FaultOptions LostHeartbeats() {
  FaultOptions options = RareFaultsAndRepeats();
  options.loses_heartbeats = true;
  return options;
}

FaultOptions LaggingViews() {
  FaultOptions options = RareFaultsAndRepeats();
  options.faults.insert(options.faults.end(), 3, DaemonFault::kLagView);
  return options;
}

FaultyFleet::FaultyFleet(uint32_t seed, const FaultOptions& options)
    : options(options),
      scenario(seed, ChurnOptionsOf(options)),
      world(scenario.world),
      start(world.now) {
  this->world.is_partitioned = [this](const DaemonId& a, const DaemonId& b) {
    return !this->options.holds_up_frames &&
           this->world.now < this->GetEndOfCut(a, b);
  };
  this->world.is_store_unreachable = [this](const DaemonId& daemon) {
    return this->world.now < this->cut_from_store_until[daemon];
  };
  this->world.is_endpoint_unreachable = [this](const DaemonId&,
                                               const EndpointId& endpoint) {
    return this->world.now < this->endpoints_cut_until[endpoint];
  };
  this->world.command_execution_delay = [this](const EndpointCommand& command) {
    const bool is_late =
        this->world.now < this->endpoints_late_until[command.endpoint] &&
        this->scenario.Draw(0, 2) == 0;
    return Millis{is_late ? this->scenario.Draw(300, 2'500) : 0};
  };
  this->world.is_renewed_while_paused = [options](const std::string&) {
    return options.renews_leases_in_pauses;
  };
  this->SetUpDelays();
  if (!options.loses_answers)
    return;
  this->world.is_answer_lost = [this](const EndpointCommand&) {
    return this->scenario.Draw(0, 99) == 0;
  };
}

void FaultyFleet::SetUpDelays() {
  this->scenario.additional_message_delay = [this](const DaemonId& from,
                                                   const DaemonId& to) {
    const Millis slowness = this->GetSlowness(from) + this->GetSlowness(to);
    if (!this->options.holds_up_frames)
      return slowness;
    return std::max(slowness, this->GetEndOfCut(from, to) - this->world.now);
  };
  this->world.is_heartbeat_lost = [this](const DaemonId& from,
                                         const DaemonId& to) {
    if (this->world.now < this->GetEndOfCut(from, to))
      return true;
    return this->options.loses_heartbeats && this->scenario.Draw(0, 19) == 0;
  };
  this->world.caller_delay = [this](const DaemonId& daemon) {
    Millis delay = this->GetSlowness(daemon);
    if (this->options.holds_up_requests)
      delay =
          std::max(delay, this->GetEndOfCut(daemon, daemon) - this->world.now);
    return DelayInOrder(this->world.now, delay, this->request_arrivals[daemon]);
  };
  this->world.command_delay = [this](const DaemonId& daemon) {
    return DelayInOrder(this->world.now, this->GetSlowness(daemon),
                        this->command_arrivals[daemon]);
  };
  this->world.store_delay =
      [this, usual = this->world.store_delay](const DaemonId& daemon) {
        return usual(daemon) + this->GetSlowness(daemon);
      };
  this->world.member_news_delay = [this](const DaemonId& daemon) {
    const auto lag = this->view_lags.find(daemon);
    const bool lags =
        lag != this->view_lags.end() && this->world.now < lag->second.until;
    return lags ? lag->second.delay : Millis();
  };
}

Millis FaultyFleet::GetEndOfCut(const DaemonId& a, const DaemonId& b) const {
  Millis end;
  for (const DaemonId& daemon : {a, b}) {
    const auto cut = this->cut_from_daemons_until.find(daemon);
    if (cut != this->cut_from_daemons_until.end())
      end = std::max(end, cut->second);
  }
  const auto zones = std::minmax(a.value.front(), b.value.front());
  if (zones.first != zones.second)
    end = std::max(end, this->zones_cut_until);
  const auto pair = this->zone_pairs_cut_until.find(zones);
  return pair == this->zone_pairs_cut_until.end() ? end
                                                  : std::max(end, pair->second);
}

Millis FaultyFleet::GetSlowness(const DaemonId& daemon) const {
  const auto slowness = this->slownesses.find(daemon);
  const bool is_slow = slowness != this->slownesses.end() &&
                       this->world.now < slowness->second.until;
  return is_slow ? slowness->second.delay : Millis();
}

std::set<JobTask> FaultyFleet::Play() {
  const Millis end = this->start + Millis{8'000};
  while (this->world.now < end) {
    this->scenario.StartDaemons();
    this->EndPauses();
    this->InjectFaults();
    this->InjectEndpointFault();
    this->RepeatJobs();
    this->SendNewJob();
    this->world.RunFor({5});
  }
  return this->world.overlaps;
}

size_t FaultyFleet::CountJobs() const {
  return this->shapes.size();
}

size_t FaultyFleet::CountCompletedJobs() const {
  return static_cast<size_t>(
      std::count_if(this->world.results.begin(), this->world.results.end(),
                    [](const auto& result) {
                      return result.second == JobResult::kCompleted;
                    }));
}

void FaultyFleet::EndPauses() {
  for (auto it = this->paused_until.begin(); it != this->paused_until.end();) {
    const auto& [daemon, until] = *it;
    if (until > this->world.now) {
      ++it;
      continue;
    }
    this->world.paused_daemons.erase(daemon);
    it = this->paused_until.erase(it);
  }
}

void FaultyFleet::InjectFaults() {
  constexpr Millis kTimeWithoutFaults{3'000};
  if (this->world.now <= this->start + kTimeWithoutFaults ||
      this->scenario.ready_daemons.empty() ||
      this->scenario.Draw(0, this->options.rounds_per_fault - 1) != 0)
    return;
  const std::string daemon = this->scenario.DrawReadyDaemon();
  if (this->options.faults.empty())
    return;
  const auto count = static_cast<int64_t>(this->options.faults.size());
  const auto index = static_cast<size_t>(this->scenario.Draw(0, count - 1));
  this->InjectFault(this->options.faults[index], daemon);
}

void FaultyFleet::InjectFault(DaemonFault fault, const std::string& daemon) {
  const DaemonId id(daemon);
  switch (fault) {
    case DaemonFault::kKill:
      this->Kill(daemon);
      break;
    case DaemonFault::kPause:
      this->Pause(daemon);
      break;
    case DaemonFault::kCutFromDaemons:
      this->cut_from_daemons_until[id] = this->DrawTime(100, 1'500);
      break;
    case DaemonFault::kCutFromStore:
      this->cut_from_store_until[id] = this->DrawTime(100, 2'500);
      break;
    case DaemonFault::kDeregister:
      this->world.DeregisterDaemon(daemon);
      break;
    case DaemonFault::kStop:
      this->Stop(daemon);
      break;
    case DaemonFault::kCutZone:
      this->zones_cut_until = this->DrawTime(300, 2'500);
      break;
    case DaemonFault::kKillZone:
      this->KillZone(daemon.front());
      break;
    case DaemonFault::kCutZoneFromAnother:
      this->CutZoneFromAnother(daemon.front());
      break;
    case DaemonFault::kSlow:
      this->slownesses[id] = this->DrawSlowness();
      break;
    case DaemonFault::kSlowZone:
      this->SlowDownZone(daemon.front());
      break;
    case DaemonFault::kLagView:
      this->view_lags[id] = {this->DrawTime(300, 2'500),
                             Millis{this->scenario.Draw(100, 1'500)}};
      break;
  }
}

void FaultyFleet::InjectEndpointFault() {
  constexpr Millis kTimeWithoutFaults{2'500};
  if (this->options.endpoint_faults.empty() ||
      this->world.now <= this->start + kTimeWithoutFaults ||
      this->scenario.Draw(0, this->options.rounds_per_endpoint_fault - 1) != 0)
    return;
  auto endpoint = this->world.endpoints.begin();
  const auto endpoints = static_cast<int64_t>(this->world.endpoints.size());
  std::advance(endpoint, this->scenario.Draw(0, endpoints - 1));
  const EndpointId& id = endpoint->first;
  const auto count = static_cast<int64_t>(this->options.endpoint_faults.size());
  const auto index = static_cast<size_t>(this->scenario.Draw(0, count - 1));
  switch (this->options.endpoint_faults[index]) {
    case EndpointFault::kExecutesLate:
      this->endpoints_late_until[id] = this->DrawTime(300, 3'000);
      break;
    case EndpointFault::kCut:
      this->endpoints_cut_until[id] = this->DrawTime(100, 2'000);
      break;
    case EndpointFault::kCutAndRestart: {
      const Millis cut_until = this->DrawTime(100, 2'000);
      this->endpoints_cut_until[id] = cut_until;
      this->world.RestartEndpoint(
          id.value, cut_until - Millis{50},
          cut_until + Millis{this->scenario.Draw(0, 1'500)});
      break;
    }
    case EndpointFault::kRestart: {
      const Millis back_at = this->DrawTime(20, 500);
      this->world.RestartEndpoint(
          id.value, back_at, back_at + Millis{this->scenario.Draw(0, 1'500)});
      break;
    }
  }
}

void FaultyFleet::Kill(const std::string& daemon) {
  this->world.paused_daemons.erase(daemon);
  this->paused_until.erase(daemon);
  this->scenario.KillDaemon(daemon);
  this->scenario.SetNextStart(daemon, this->DrawTime(100, 2'500));
}

void FaultyFleet::KillZone(char zone) {
  const std::vector<std::string> ready = this->scenario.ready_daemons;
  for (const std::string& daemon : ready) {
    if (daemon.front() == zone)
      this->Kill(daemon);
  }
}

void FaultyFleet::SlowDownZone(char zone) {
  const Slowness slowness = this->DrawSlowness();
  for (const std::string& daemon : this->scenario.ready_daemons) {
    if (daemon.front() == zone)
      this->slownesses[DaemonId(daemon)] = slowness;
  }
}

void FaultyFleet::CutZoneFromAnother(char zone) {
  std::vector<char> others;
  for (const std::string& other : this->options.zones) {
    if (other.front() != zone)
      others.push_back(other.front());
  }
  const auto count = static_cast<int64_t>(others.size());
  const char other =
      others[static_cast<size_t>(this->scenario.Draw(0, count - 1))];
  this->zone_pairs_cut_until[std::minmax(zone, other)] =
      this->DrawTime(300, 2'500);
}

void FaultyFleet::Pause(const std::string& daemon) {
  this->world.paused_daemons.insert(daemon);
  constexpr int64_t kLongestPauseMs = 1'200;
  constexpr int64_t kLongestRenewedPauseMs = 3'000;
  this->paused_until[daemon] = this->DrawTime(
      50, this->options.renews_leases_in_pauses ? kLongestRenewedPauseMs
                                                : kLongestPauseMs);
}

void FaultyFleet::Stop(const std::string& daemon) {
  this->world.StopDaemon(daemon);
  this->scenario.SetNextStart(daemon, this->DrawTime(2'600, 3'500));
}

void FaultyFleet::RepeatJobs() {
  for (const std::string& job : this->scenario.UpdateCallers()) {
    if (this->world.results.count(job) > 0 ||
        this->scenario.ready_daemons.empty())
      continue;
    this->scenario.Submit(this->scenario.DrawReadyDaemon(), job,
                          this->shapes[job]);
  }
}

void FaultyFleet::SendNewJob() {
  if (this->scenario.ready_daemons.empty() || this->scenario.Draw(0, 4) != 0)
    return;
  const std::string job = "job" + std::to_string(++this->job_count);
  const JobShape shape = this->DrawShape();
  this->shapes[job] = shape;
  ChurnCaller& caller =
      this->scenario.Submit(this->scenario.DrawReadyDaemon(), job, shape);
  const int64_t conduct = this->scenario.Draw(0, 7);
  if (conduct <= 1)
    this->scenario.LetCallerLeave(caller);
  else if (conduct == 2 && this->options.has_silent_repeats)
    this->scenario.LetCallerRepeat(caller);
}

JobShape FaultyFleet::DrawShape() {
  JobShape shape;
  shape.task_count = static_cast<uint32_t>(this->scenario.Draw(1, 4));
  const bool is_long = this->scenario.Draw(0, 3) == 0;
  shape.run_time = {is_long ? this->scenario.Draw(700, 1'300)
                            : this->scenario.Draw(60, 700)};
  return shape;
}

FaultyFleet::Slowness FaultyFleet::DrawSlowness() {
  const Millis until = this->DrawTime(300, 2'500);
  return {until, Millis{this->scenario.Draw(20, 600)}};
}

/** Returns a time after now. */
Millis FaultyFleet::DrawTime(int64_t shortest, int64_t longest) {
  return this->world.now + Millis{this->scenario.Draw(shortest, longest)};
}

}  // namespace dogwoodfall
