#ifndef DOGWOODFALL_TESTS_SUPPORT_FAULTY_FLEET_H_
#define DOGWOODFALL_TESTS_SUPPORT_FAULTY_FLEET_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "churn_scenario.h"

namespace dogwoodfall {

enum class DaemonFault {
  kKill,
  kPause,
  kCutFromDaemons,
  kCutFromStore,
  kDeregister,
  kStop,
  /** Cuts the daemon's zone off from the other ones. */
  kCutZone,
  /** Cuts the daemon's zone off from one other zone. */
  kCutZoneFromAnother,
  /** Kills all daemons of the daemon's zone. */
  kKillZone,
  /** The daemon reads and sends late. */
  kSlow,
  /** All daemons of the daemon's zone read and send late. */
  kSlowZone,
  /** The store's news of members reach the daemon late. */
  kLagView,
};

enum class EndpointFault {
  /** Some commands are executed late and not answered. */
  kExecutesLate,
  /** No daemon reaches the endpoint, which runs on. */
  kCut,
  /** The endpoint is cut off and starts anew under its former id meanwhile. */
  kCutAndRestart,
  /** The endpoint starts anew under its former id. */
  kRestart,
};

struct FaultOptions {
  std::vector<std::string> zones = {"north", "south"};
  int daemons_per_zone = 10;
  /** Time from a stop command to the end of the run. */
  Millis stop_duration;
  std::vector<DaemonFault> faults;
  /** Mean number of rounds of 5 ms from one fault to the next. */
  int64_t rounds_per_fault = 31;
  std::vector<EndpointFault> endpoint_faults;
  /** The same for the faults of endpoints. */
  int64_t rounds_per_endpoint_fault = 10;
  /** Whether pauses may last for up to 3 s, during which the store leases of
   * paused daemons are renewed.
   */
  bool renews_leases_in_pauses = false;
  /** Whether answers of endpoints are lost now and then. */
  bool loses_answers = false;
  /** Whether single heartbeats are lost now and then, also without a cut. */
  bool loses_heartbeats = false;
  /** Whether cuts between daemons hold up the bytes of connections instead of
   * losing them. Heartbeats are still lost.
   */
  bool holds_up_frames = false;
  /** Whether daemons that are cut off from the others read the requests of
   * callers only after the cut.
   */
  bool holds_up_requests = false;
  /** Whether some callers send their jobs again to another daemon while the
   * first one still has their connection.
   */
  bool has_silent_repeats = false;
};

/** Returns options with all faults and lost answers of endpoints. */
FaultOptions AllFaults();

/** Returns options with all faults of daemons and endpoints, and long pauses.
 */
FaultOptions AllFaultsOfDaemonsAndEndpoints();

/** Returns options with rare faults of daemons and silent repeats. */
FaultOptions RareFaultsAndRepeats();

/** Returns options with daemons and zones that read and send late. */
FaultOptions SlowDaemons();

/** Returns options with cuts that hold up frames. */
FaultOptions HeldUpFrames();

/** Returns options with three zones, of which two may not hear each other. */
FaultOptions ThreeZones();

/** Returns options with rare faults of daemons and lost heartbeats. */
FaultOptions LostHeartbeats();

/** Returns options with daemons that see changes of the members late. */
FaultOptions LaggingViews();

/** Plays joining daemons with faults, and callers that send their jobs. A seed
 * determines all draws.
 */
class FaultyFleet {
 public:
  FaultyFleet(uint32_t seed, const FaultOptions& options);
  FaultyFleet(const FaultyFleet&) = delete;
  FaultyFleet& operator=(const FaultyFleet&) = delete;
  /** Returns the tasks that had two runs at the same time. */
  std::set<JobTask> Play();
  /** Returns the number of jobs sent so far. */
  size_t CountJobs() const;
  /** Returns the number of jobs that have completed so far. */
  size_t CountCompletedJobs() const;

 private:
  struct Slowness {
    Millis until;
    Millis delay;
  };

  /** Sets how messages, requests, commands and news are delayed and lost. */
  void SetUpDelays();
  /** Returns when the present cuts between two daemons are over. */
  Millis GetEndOfCut(const DaemonId& a, const DaemonId& b) const;
  /** Returns by how much a daemon reads and sends late now. */
  Millis GetSlowness(const DaemonId& daemon) const;
  void SlowDownZone(char zone);
  void CutZoneFromAnother(char zone);
  void EndPauses();
  void InjectFaults();
  void InjectFault(DaemonFault fault, const std::string& daemon);
  void InjectEndpointFault();
  void Kill(const std::string& daemon);
  void KillZone(char zone);
  void Pause(const std::string& daemon);
  void Stop(const std::string& daemon);
  void RepeatJobs();
  void SendNewJob();
  JobShape DrawShape();
  Slowness DrawSlowness();
  Millis DrawTime(int64_t shortest, int64_t longest);

  const FaultOptions options;
  ChurnScenario scenario;
  FleetWorld& world;
  const Millis start;
  std::map<std::string, Millis> paused_until;
  std::map<DaemonId, Millis> cut_from_daemons_until;
  std::map<DaemonId, Millis> cut_from_store_until;
  Millis zones_cut_until;
  /** By the initials of the two zones, in their order. */
  std::map<std::pair<char, char>, Millis> zone_pairs_cut_until;
  std::map<DaemonId, Slowness> slownesses;
  std::map<DaemonId, Slowness> view_lags;
  /** When the last request and the last command of a daemon arrive. */
  std::map<DaemonId, Millis> request_arrivals;
  std::map<DaemonId, Millis> command_arrivals;
  std::map<EndpointId, Millis> endpoints_cut_until;
  std::map<EndpointId, Millis> endpoints_late_until;
  std::map<std::string, JobShape> shapes;
  int job_count = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_FAULTY_FLEET_H_
