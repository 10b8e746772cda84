#ifndef DOGWOODFALL_TESTS_SUPPORT_CHURN_SCENARIO_H_
#define DOGWOODFALL_TESTS_SUPPORT_CHURN_SCENARIO_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fleet_world.h"

namespace dogwoodfall {

struct ChurnOptions {
  std::vector<std::string> zones = {"north", "south"};
  int daemons_per_zone = 10;
  /** Daemons of each zone that start at once; the others join later. */
  int first_daemons_per_zone = 2;
  /** Time from a stop command to the end of the run. */
  Millis stop_duration;
};

struct ChurnDaemon {
  std::string id;
  std::string zone;
  /** Time of the next start or, while the daemon runs, of the last one. */
  Millis starts_at;
};

struct ChurnCaller {
  std::string daemon;
  /** Empty after the connection is closed. */
  CallerToken token;
  std::string job;
  Millis leaves_at;
  /** When the job is sent again. */
  Millis repeats_at;
};

struct JobShape {
  uint32_t task_count = 0;
  Millis run_time;
};

/** Zones whose daemons join one after the other, with late messages and
 * callers that leave and send their jobs again. A seed determines all draws.
 */
class ChurnScenario {
 public:
  ChurnScenario(uint32_t seed, const ChurnOptions& options);
  ChurnScenario(const ChurnScenario&) = delete;
  ChurnScenario& operator=(const ChurnScenario&) = delete;

  /** Returns a random number from a range that includes both limits. */
  int64_t Draw(int64_t lowest, int64_t highest);
  /** Returns one of the daemons that are ready. */
  std::string DrawReadyDaemon();

  /** Starts the daemons that are due and finds those that are ready. */
  void StartDaemons();
  /** Kills a daemon and closes its callers' connections. */
  void KillDaemon(const std::string& id);
  /** Changes when a daemon starts again after it has ended. */
  void SetNextStart(const std::string& id, Millis starts_at);

  /** Sends a job. The caller stays valid until the next job is sent. */
  ChurnCaller& Submit(const std::string& daemon,
                      const std::string& job,
                      const JobShape& shape);
  /** Lets a caller leave soon and send its job again some time later. */
  void LetCallerLeave(ChurnCaller& caller);
  /** Lets a caller send its job again without closing its connection. */
  void LetCallerRepeat(ChurnCaller& caller);
  /** Disconnects the callers that leave now.
   * @return the jobs that are to be sent again now
   */
  std::vector<std::string> UpdateCallers();

  FleetWorld world;
  /** Time by which messages are delayed beyond the usual. */
  std::function<Millis(const DaemonId&, const DaemonId&)>
      additional_message_delay;
  /** Running daemons that have had time to join; they receive jobs. */
  std::vector<std::string> ready_daemons;

 private:
  void AddZone(const std::string& zone, const ChurnOptions& options);
  /** Returns the delay of a message; messages stay in their order. */
  Millis DrawMessageDelay(const DaemonId& from, const DaemonId& to);

  std::mt19937 random;
  std::vector<ChurnDaemon> daemons;
  std::vector<ChurnCaller> callers;
  std::map<DaemonId, Millis> store_delays;
  /** Arrival times of the last messages by sender and recipient. */
  std::map<std::pair<DaemonId, DaemonId>, Millis> last_arrivals;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_CHURN_SCENARIO_H_
