#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_MANAGED_ENDPOINT_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_MANAGED_ENDPOINT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "base/millis.h"
#include "model/endpoint_entry.h"
#include "model/endpoint_group.h"
#include "model/transient_job.h"
#include "ports/endpoint_order.h"

namespace dogwoodfall {

/** What is known of one run on an endpoint. */
enum class RunState : uint8_t {
  /** Ordered, not answered. */
  kStarting = 0,
  kRunning = 1,
  /** A stop was ordered; the room is free once the end is listed. */
  kStopping = 2,
  /** Found on the endpoint; no job of this daemon wants it so far. */
  kUnclaimed = 3,
};

/** A run of a task on an endpoint. */
struct Run {
  RunState state = RunState::kStarting;
  TaskResources resources;
  Millis ordered_at;
  /** When the endpoint confirmed it; the look that misses it must be later. */
  Millis confirmed_at;
  /** Run time to expect on an endpoint of usual speed. */
  Millis expected;
  int percent = 0;
  Millis percent_at;

  Millis stop_sent;
  /** True when the stop was not carried out, as far as is known. */
  bool stop_failed = false;
  /** True when the task goes back to the queue once the run is gone. */
  bool requeue = true;
};

/** Names a run: a task and the number of its start. */
using RunKey = std::pair<JobTask, uint32_t>;

/** Whether an endpoint may get work. */
enum class EndpointStatus : uint8_t {
  /** Taken over; what runs there is not known yet. */
  kLooking = 0,
  kUsable = 1,
  /** Does not answer. */
  kSilent = 2,
  /** Another daemon with a higher token gives it orders. */
  kLost = 3,
};

/** An endpoint that this daemon gives orders to. */
struct ManagedEndpoint {
  EndpointEntry entry;
  EndpointGroup group;
  /** False once its item is gone from the store. */
  bool is_listed = true;
  uint64_t fencing_token = 0;
  EndpointStatus status = EndpointStatus::kLooking;
  /** When the present standing began. */
  Millis status_since;
  std::map<RunKey, Run> runs;
  TaskResources used;
  /** Its steady clock minus ours. */
  std::optional<Millis> clock_ahead;
  /** Everything that runs there ends by then unless the lease is renewed. */
  Millis lease_until;
  uint64_t acknowledged_ends = 0;
  int64_t started_at_ms = 0;
  /** The renewal that is not answered, or 0. */
  CommandId renewal;
  Millis renewal_sent;
  uint32_t unanswered = 0;
  /** Gets no new runs until then. */
  Millis avoid_until;
  /** Pause after the next refusal for being unhealthy. */
  Millis avoid_pause;
  /** True from its ejection until a run ends well there. */
  bool is_on_trial = false;
  /** Pause of the last ejection. */
  Millis ejection_pause;
  /** Run times there over the declared ones, learned. */
  double slowness = 1;
  /** Share of runs that failed, learned. */
  double failure_share = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_MANAGED_ENDPOINT_H_
