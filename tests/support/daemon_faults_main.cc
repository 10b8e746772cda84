#include <boost/program_options.hpp>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>

#include "faulty_fleet.h"

namespace dogwoodfall {
namespace {

namespace options = boost::program_options;

constexpr int kExitUsage = 2;

/** Returns the mixes of faults by name. */
std::map<std::string, FaultOptions> MakeMixes() {
  constexpr int64_t kRareFaults = 60;
  std::map<std::string, FaultOptions> mixes;
  mixes["kills"].faults = {DaemonFault::kKill};
  mixes["kills"].rounds_per_fault = kRareFaults;
  mixes["all"] = AllFaults();
  mixes["slow-stops"] = AllFaults();
  mixes["slow-stops"].daemons_per_zone = 5;
  mixes["slow-stops"].stop_duration = {45};
  mixes["repeats"] = RareFaultsAndRepeats();
  mixes["zone-cuts"] = AllFaults();
  mixes["zone-cuts"].faults.push_back(DaemonFault::kCutZone);
  mixes["zone-cuts"].rounds_per_fault = kRareFaults;
  mixes["endpoints"] = AllFaultsOfDaemonsAndEndpoints();
  mixes["endpoints"].rounds_per_fault = kRareFaults;
  mixes["endpoint-restarts"] = mixes["endpoints"];
  mixes["endpoint-restarts"].endpoint_faults = {EndpointFault::kExecutesLate,
                                                EndpointFault::kRestart,
                                                EndpointFault::kCutAndRestart};
  mixes["endpoint-lateness"] = mixes["endpoints"];
  mixes["endpoint-lateness"].endpoint_faults = {EndpointFault::kExecutesLate,
                                                EndpointFault::kCut};
  mixes["zone-losses"] = mixes["endpoint-restarts"];
  mixes["zone-losses"].faults = {DaemonFault::kKill, DaemonFault::kKillZone};
  mixes["zone-losses"].rounds_per_endpoint_fault = 4;
  mixes["slow"] = SlowDaemons();
  mixes["slow-and-faults"] = SlowDaemons();
  mixes["slow-and-faults"].faults.insert(
      mixes["slow-and-faults"].faults.end(),
      {DaemonFault::kKill, DaemonFault::kCutFromDaemons});
  mixes["held-up"] = HeldUpFrames();
  mixes["held-up-requests"] = HeldUpFrames();
  mixes["held-up-requests"].holds_up_requests = true;
  mixes["three-zones"] = ThreeZones();
  mixes["lost-datagrams"] = LostHeartbeats();
  mixes["lagging-views"] = LaggingViews();
  return mixes;
}

/** Plays seeds of a mix and prints those with two runs of a task at the same
 * time.
 * @return true when there were none
 */
bool PlaySeeds(const FaultOptions& mix, uint32_t first, uint32_t count) {
  uint32_t failed_seeds = 0;
  size_t jobs = 0;
  size_t completed_jobs = 0;
  for (uint32_t seed = first; seed < first + count; ++seed) {
    FaultyFleet fleet(seed, mix);
    const std::set<JobTask> overlaps = fleet.Play();
    jobs += fleet.CountJobs();
    completed_jobs += fleet.CountCompletedJobs();
    failed_seeds += overlaps.empty() ? 0 : 1;
    for (const JobTask& task : overlaps)
      std::cout << "seed " << seed << ": " << task.job.value << " "
                << FormatTaskPosition(task) << " had two runs\n";
  }
  std::cout << count << " seeds, " << failed_seeds << " with two runs; " << jobs
            << " jobs, " << completed_jobs << " completed\n";
  return failed_seeds == 0;
}

int RunMain(int argc, char** argv) {
  const std::map<std::string, FaultOptions> mixes = MakeMixes();
  std::string names;
  for (const auto& [name, mix] : mixes)
    names += (names.empty() ? "" : ", ") + name;
  std::string mix;
  uint32_t first = 1;
  uint32_t count = 1;
  options::options_description description("daemon_faults");
  description.add_options()("mix", options::value(&mix)->required(),
                            ("mix of faults: " + names).c_str())(
      "seed", options::value(&first), "first seed")(
      "seeds", options::value(&count), "number of seeds");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << description;
    return kExitUsage;
  }
  const auto found = mixes.find(mix);
  if (found == mixes.end()) {
    std::cerr << "unknown mix " << mix << "; known: " << names << "\n";
    return kExitUsage;
  }
  return PlaySeeds(found->second, first, count) ? 0 : 1;
}

}  // namespace
}  // namespace dogwoodfall

int main(int argc, char** argv) {
  return dogwoodfall::RunMain(argc, argv);
}
