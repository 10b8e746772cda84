#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "churn_scenario.h"

namespace dogwoodfall {
namespace {

enum class DaemonFault {
  kKill,
  kPause,
  kCutFromDaemons,
  kCutFromStore,
  kDeregister,
  kStop,
};

struct FaultOptions {
  int daemons_per_zone = 10;
  /** Time from a stop command to the end of the run. */
  Millis stop_duration;
  std::vector<DaemonFault> faults;
  /** Mean number of rounds of 5 ms from one fault to the next. */
  int64_t rounds_per_fault = 31;
  /** Whether answers of endpoints are lost now and then. */
  bool loses_answers = false;
  /** Whether some callers send their jobs again to another daemon while the
   * first one still has their connection.
   */
  bool has_silent_repeats = false;
};

/** Plays joining daemons with faults, and callers that send their jobs. */
class FaultyFleet {
 public:
  FaultyFleet(uint32_t seed, const FaultOptions& options);
  /** Returns the tasks that had two runs at the same time. */
  std::set<JobTask> Play();

 private:
  void EndPauses();
  void InjectFaults();
  void InjectFault(DaemonFault fault, const std::string& daemon);
  void Kill(const std::string& daemon);
  void Pause(const std::string& daemon);
  void Stop(const std::string& daemon);
  void RepeatJobs();
  void SendNewJob();
  JobShape DrawShape();
  Millis DrawTime(int64_t shortest, int64_t longest);

  const FaultOptions options;
  ChurnScenario scenario;
  FleetWorld& world;
  const Millis start;
  std::map<std::string, Millis> paused_until;
  std::map<DaemonId, Millis> cut_from_daemons_until;
  std::map<DaemonId, Millis> cut_from_store_until;
  std::map<std::string, JobShape> shapes;
  int job_count = 0;
};

ChurnOptions ChurnOptionsOf(const FaultOptions& options) {
  ChurnOptions churn;
  churn.daemons_per_zone = options.daemons_per_zone;
  churn.first_daemons_per_zone = 3;
  churn.stop_duration = options.stop_duration;
  return churn;
}

FaultyFleet::FaultyFleet(uint32_t seed, const FaultOptions& options)
    : options(options),
      scenario(seed, ChurnOptionsOf(options)),
      world(scenario.world),
      start(world.now) {
  this->world.is_partitioned = [this](const DaemonId& a, const DaemonId& b) {
    return this->world.now < this->cut_from_daemons_until[a] ||
           this->world.now < this->cut_from_daemons_until[b];
  };
  this->world.is_store_unreachable = [this](const DaemonId& daemon) {
    return this->world.now < this->cut_from_store_until[daemon];
  };
  if (!options.loses_answers)
    return;
  this->world.is_answer_lost = [this](const EndpointCommand&) {
    return this->scenario.Draw(0, 99) == 0;
  };
}

std::set<JobTask> FaultyFleet::Play() {
  const Millis end = this->start + Millis{8'000};
  while (this->world.now < end) {
    this->scenario.StartDaemons();
    this->EndPauses();
    this->InjectFaults();
    this->RepeatJobs();
    this->SendNewJob();
    this->world.RunFor({5});
  }
  return this->world.overlaps;
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
  }
}

void FaultyFleet::Kill(const std::string& daemon) {
  this->world.paused_daemons.erase(daemon);
  this->paused_until.erase(daemon);
  this->scenario.KillDaemon(daemon);
  this->scenario.SetNextStart(daemon, this->DrawTime(100, 2'500));
}

void FaultyFleet::Pause(const std::string& daemon) {
  this->world.paused_daemons.insert(daemon);
  this->paused_until[daemon] = this->DrawTime(50, 1'200);
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

/** Returns a time after now. */
Millis FaultyFleet::DrawTime(int64_t shortest, int64_t longest) {
  return this->world.now + Millis{this->scenario.Draw(shortest, longest)};
}

FaultOptions AllFaults() {
  FaultOptions options;
  options.faults = {DaemonFault::kKill,           DaemonFault::kPause,
                    DaemonFault::kCutFromDaemons, DaemonFault::kCutFromStore,
                    DaemonFault::kDeregister,     DaemonFault::kStop};
  options.loses_answers = true;
  return options;
}

void ExpectNoDuplicateRuns(const FaultOptions& options,
                           const std::vector<uint32_t>& seeds) {
  for (const uint32_t seed : seeds) {
    for (const JobTask& task : FaultyFleet(seed, options).Play())
      ADD_FAILURE() << "seed " << seed << ": " << task.job.value << "."
                    << task.index;
  }
}

// Callers of a killed daemon send their jobs to another one.
TEST(DaemonFaultsTest, KilledDaemonsCauseNoDuplicateRuns) {
  FaultOptions options;
  options.faults = {DaemonFault::kKill};
  ExpectNoDuplicateRuns(options, {1, 2, 3, 36, 49});
}

TEST(DaemonFaultsTest, FaultyDaemonsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(AllFaults(), {1, 2, 3, 7, 28, 74, 223});
}

TEST(DaemonFaultsTest, RareFaultsOfDaemonsCauseNoDuplicateRuns) {
  FaultOptions options = AllFaults();
  options.rounds_per_fault = 60;
  ExpectNoDuplicateRuns(options, {7, 28, 74, 223});
}

// A run that is being stopped is still active.
TEST(DaemonFaultsTest, FaultyDaemonsCauseNoDuplicateRunsWhileRunsStop) {
  FaultOptions options = AllFaults();
  options.daemons_per_zone = 5;
  options.stop_duration = {45};
  ExpectNoDuplicateRuns(options, {1, 2, 3, 61});
}

TEST(DaemonFaultsTest, RepeatsOfConnectedCallersCauseNoDuplicateRuns) {
  FaultOptions options;
  options.has_silent_repeats = true;
  ExpectNoDuplicateRuns(options, {1, 2, 3});
}

FaultOptions RareKills() {
  FaultOptions options;
  options.faults = {DaemonFault::kKill};
  options.rounds_per_fault = 60;
  return options;
}

TEST(DaemonFaultsTest, ProgressLostTwoHandoversOnCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(RareKills(), {55});
}

TEST(DaemonFaultsTest, JobAnnouncedToLostDaemonsOnlyCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(RareKills(), {77});
}

TEST(DaemonFaultsTest, EndpointOfAThirdOwnerCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(RareKills(), {96});
}

TEST(DaemonFaultsTest, FrequentFaultsOfDaemonsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(AllFaults(), {72});
}

TEST(DaemonFaultsTest,
     EndpointThatChangesItsOwnerSeveralTimesCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(AllFaults(), {117});
}

}  // namespace
}  // namespace dogwoodfall
