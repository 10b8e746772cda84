#ifndef DOGWOODFALL_TESTS_SUPPORT_FAKE_ENDPOINT_H_
#define DOGWOODFALL_TESTS_SUPPORT_FAKE_ENDPOINT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/scheduling/managed_endpoint.h"
#include "ports/endpoint_command.h"

namespace dogwoodfall {

/** Time within which a daemon has to act on a change in the store. */
inline constexpr Millis kContactTime{3'000};
/** Period in which an endpoint writes its entry. */
inline constexpr Millis kEndpointHeartbeat{1'500};
/** Time for which a start may rely on the capacity from before a reduction. */
inline constexpr Millis kCapacityReductionGrace =
    kContactTime + kEndpointHeartbeat;

/** Longest lease that an endpoint grants, counted from the execution of a
 * command.
 */
inline constexpr Millis kMaxEndpointLease{1'000};

/** Fake endpoint that follows the published endpoint protocol on a fake clock.
 */
struct FakeEndpoint {
  struct FakeRun {
    Millis started_at;
    Millis run_time;
    TaskResources resources;
    RunResult result = RunResult::kDone;
    /** True when the run crashes the endpoint at its end. */
    bool crashes = false;
    /** Part of the delay by run_time_factor that is below 1 ms. */
    double delay_ms = 0;
  };

  EndpointEntry entry;
  /** Factor of run times over the nominal ones. */
  double slowness = 1;
  /** How long a run goes on, and occupies its resources, after a stop. */
  Millis stop_duration;
  /** True to make every started run fail after 25 ms. */
  bool fails_all = false;
  /** True for an endpoint that can't parse any command. */
  bool rejects_commands = false;
  /** True for an endpoint that can't parse any start. */
  bool rejects_starts = false;
  /** Runs of jobs whose id has this prefix fail in the same way; empty for
   * none.
   */
  std::string failing_job_prefix;
  /** The first task of jobs whose id has this prefix crashes the endpoint;
   * empty for none.
   */
  std::string crashing_job_prefix;
  /** Number of crashes so far. */
  uint32_t crashes = 0;
  /** The endpoint is down until then and answers nothing. */
  Millis down_until;
  int64_t started_at_ms = 1;
  uint64_t max_fencing_token = 0;
  uint64_t last_end_number = 0;
  /** End of the lease, on the endpoint's clock. */
  Millis lease_until;
  /** Speed of the endpoint's clock since clock_set_at. */
  double clock_rate = 1;
  Millis clock_set_at;
  /** Endpoint's clock at clock_set_at; none if it was right. */
  std::optional<Millis> clock_at_start;
  std::map<RunKey, FakeRun> running;
  /** Factor by which a run takes longer, or shorter, at present than its
   * run_time, for example because of its neighbours; none for 1.
   */
  std::function<double(const FakeEndpoint&, const RunKey&)> run_time_factor;
  Millis advanced_at;
  /** For each task, the highest attempt that has ended or been stopped. A start
   * of this or an earlier attempt is refused as stale.
   */
  std::map<JobTask, uint32_t> closed_attempts;
  std::vector<EndedRun> ended;
  /** Number of runs started. */
  uint64_t starts = 0;

  /** False for an endpoint without admission check, which starts whatever it is
   * told to start.
   */
  bool checks_admission = true;
  /** Capacity before the latest change, and the time of that change. */
  TaskResources previous_capacity;
  Millis capacity_changed_at;
  /** Starts that brought the runs over the capacity, later than
   * kCapacityReductionGrace after a reduction.
   */
  std::vector<RunKey> starts_over_capacity;
};

/** Changes the capacity of an endpoint; its runs go on. */
void ChangeCapacity(FakeEndpoint& endpoint,
                    const TaskResources& capacity,
                    Millis now);

/** Returns the time on an endpoint's clock. */
Millis ReadClock(const FakeEndpoint& endpoint, Millis now);

/** Ends the runs that are finished at the given time or whose lease has
 * expired, and crashes the endpoint when one of them does so.
 */
void AdvanceFakeEndpoint(FakeEndpoint& endpoint, Millis now);

/** Ends the process of an endpoint and everything that it runs. It is back, as
 * another incarnation, after some seconds.
 */
void CrashFakeEndpoint(FakeEndpoint& endpoint, Millis now);

/** Starts an endpoint anew under its former id: it knows nothing of its former
 * life, and its clock starts at 0.
 *
 * @param back_at when it is up; it is down until then
 */
void RestartFakeEndpoint(FakeEndpoint& endpoint, Millis back_at);

/** Executes a command.
 *
 * @param nominal_run_time run time of a started run at slowness 1
 * @param resources resources that a started run uses
 */
EndpointReply ExecuteCommand(FakeEndpoint& endpoint,
                             const EndpointCommand& command,
                             Millis nominal_run_time,
                             const TaskResources& resources,
                             Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_FAKE_ENDPOINT_H_
