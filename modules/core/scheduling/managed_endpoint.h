#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_MANAGED_ENDPOINT_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_MANAGED_ENDPOINT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "base/millis.h"
#include "core/scheduling/neighbour_times.h"
#include "model/endpoint_entry.h"
#include "model/endpoint_group.h"
#include "model/transient_job.h"
#include "ports/endpoint_command.h"

namespace dogwoodfall {

/** State of a run, as known to its scheduler. */
enum class RunState : uint8_t {
  /** The start was sent and is not answered yet. */
  kStarting = 0,
  kRunning = 1,
  /** A stop was sent; the resources are free once the endpoint lists the end.
   */
  kStopping = 2,
  /** Found on the endpoint; no job of this daemon has claimed it so far. */
  kUnclaimed = 3,
  /** The start is sent once the endpoint's clock has been read anew. */
  kAwaitingClock = 4,
};

/** A run of a task on an endpoint. */
struct Run {
  RunState state = RunState::kStarting;
  /** The command that started it; none for a run that was found. */
  CommandId start_command;
  /** False for a run that was found on the endpoint until a job of this daemon
   * claims it.
   */
  bool is_claimed = true;
  /** True when the run was stopped before its start was sent. */
  bool is_start_withdrawn = false;
  /** Not known, and all zero, for a run that no job has claimed. */
  TaskResources resources;
  /** Incarnation of the endpoint that runs it: its start in ms since 1970, or 0
   * when not known.
   */
  int64_t endpoint_started_at_ms = 0;
  /** When the start was sent, or when the run was found on the endpoint. Until
   * the start is sent, when the run was placed.
   */
  Millis start_sent_at;
  /** When its start was found to be unanswered; zero if it was not. */
  Millis start_unanswered_at;
  /** When the endpoint confirmed the start or stop. Only a list that was
   * requested later may count as proof that the run has ended.
   */
  Millis confirmed_at;
  /** Expected run time on an endpoint of slowness 1. */
  Millis expected_run_time;
  /** Share of the work that is done, 0 to 100. */
  int percent = 0;
  Millis percent_updated_at;

  Millis stop_sent_at;
  /** True once it was found to take long because its job is long. */
  bool is_of_long_job = false;
  /** True when the last stop has failed or was not answered. */
  bool has_failed_stop = false;
  /** True when the task goes back to the queue if the run ends without success.
   */
  bool may_requeue = true;
  /** Set while interference is learned. */
  RunNeighbours neighbours;
};

/** Identifies a run: a task and its attempt number. */
using RunKey = std::pair<JobTask, uint32_t>;

/** Status of an endpoint; the numbers appear in logs and state dumps. */
enum class EndpointStatus : uint8_t {
  /** The runs on the endpoint have to be listed before it may get work: its
   * ownership changed, it restarted, or an unknown run was reported there.
   */
  kReconciling = 0,
  kUsable = 1,
  /** Does not answer commands. */
  kUnresponsive = 2,
  /** Rejects this daemon's fencing token: another daemon with a higher token
   * has taken ownership.
   */
  kFenced = 3,
};

/** An endpoint that this daemon sends commands to. */
struct ManagedEndpoint {
  EndpointEntry entry;
  EndpointGroup group;
  /** True when the endpoint belongs to another owner and is managed here only
   * until the runs on it end that were reported for a job of this daemon.
   */
  bool is_held_for_reported_runs = false;
  /** True while the latest list showed runs that are left to its owner. */
  bool has_foreign_runs = false;
  /** False once the endpoint's entry has been removed from the store. */
  bool is_registered = true;
  uint64_t fencing_token = 0;
  EndpointStatus status = EndpointStatus::kReconciling;
  /** Time of the last status change or restart of reconciliation. */
  Millis status_since;
  std::map<RunKey, Run> runs;
  /** Resources occupied by the runs. */
  TaskResources used;
  /** Steady clock of the endpoint minus that of this daemon; none until the
   * clock of its current incarnation has been read.
   */
  std::optional<Millis> clock_offset;
  /** When clock_offset was determined. */
  Millis clock_read_at;
  /** Commands that were sent earlier may have been answered by a former
   * incarnation of the endpoint, whose clock is another one.
   */
  Millis incarnation_since;
  /** Time on this daemon's clock by which all runs end unless their lease is
   * renewed.
   */
  Millis lease_until;
  /** End, on this daemon's clock, of a lease that may be longer than intended,
   * as it was sent as a time on the clock of a former incarnation; zero without
   * one.
   */
  Millis excess_lease_until;
  /** Number of the last ended run that has been processed. */
  uint64_t acknowledged_ends = 0;
  /** Start of the endpoint process in ms since 1970; 0 when not known. */
  int64_t started_at_ms = 0;
  /** The renewal that has not been answered yet, or 0. */
  CommandId pending_renewal;
  Millis renewal_sent_at;
  /** The renewal that reads the clock for starts and has not been answered yet,
   * or 0.
   */
  CommandId pending_clock_reading;
  /** Number of commands in a row that were not answered. */
  uint32_t unanswered = 0;
  /** True from a report of another daemon that it was lost until it answers. */
  bool is_reported_lost = false;
  /** The endpoint gets no new runs before this time. */
  Millis backoff_until;
  /** Last backoff after the endpoint rejected a command; zero after a
   * successful start.
   */
  Millis unhealthy_backoff;
  /** True from its ejection until a run succeeds there. */
  bool is_ejected = false;
  /** Duration of the last ejection; zero while the endpoint is not ejected. */
  Millis ejection_duration;
  /** Learned ratio of run times on this endpoint to the declared ones. */
  double slowness = 1;
  /** Number of runs of this incarnation that its slowness was learned from. */
  uint32_t observed_runs = 0;
  /** True when its slowness has started from that of its kind. */
  bool starts_from_kind = false;
  /** Start in ms since 1970 of the incarnation whose slowness its previous
   * owner has sent, until the endpoint confirms it; 0 otherwise.
   */
  int64_t speed_started_at_ms = 0;
  /** Learned share of runs that failed, 0 to 1. */
  double failure_share = 0;
  /** Empty unless interference is learned. */
  NeighbourTimes neighbour_times;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_MANAGED_ENDPOINT_H_
