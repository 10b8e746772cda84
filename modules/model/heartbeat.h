#ifndef DOGWOODFALL_MODULES_MODEL_HEARTBEAT_H_
#define DOGWOODFALL_MODULES_MODEL_HEARTBEAT_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/daemon_ref.h"
#include "model/group_load.h"
#include "model/job_in_progress.h"

namespace dogwoodfall {

/** How many tasks of a customer a daemon runs and wants to run. */
struct CustomerDemand {
  CustomerId customer;
  uint32_t running = 0;
  uint32_t queued = 0;
};

/** State of a daemon, sent to every other one at a fixed interval. */
struct Heartbeat {
  DaemonRef from;
  ZoneId zone;
  /** When it was sent, on the sender's clock. */
  Millis sent_at;
  /** Counts upwards within an incarnation; older ones are dropped. */
  uint64_t number = 0;
  /** Revision of the lists in force at the sender. */
  uint64_t revision = 0;
  /** Revision at which the sender last saw the table of slots change. */
  uint64_t table_revision = 0;
  /** Highest revision of the store that the sender has seen. */
  uint64_t store_revision = 0;
  /** Identity of the store's history that the revision belongs to. */
  uint64_t store_cluster_id = 0;
  /** True when the sender can own slots of chosen ids. */
  bool can_claim = false;
  /** Slots of the sender's endpoints that are free. */
  uint32_t free_slots = 0;
  /** Tasks waiting at the sender. */
  uint32_t queued_tasks = 0;
  /** True when it takes no new work. */
  bool draining = false;
  /** Set to the receiver's incarnation to tell it that this process life of
   * it was declared ended; 0 otherwise.
   */
  Incarnation ended_receiver;
  /** Endpoints that the sender knows to be leaving. */
  std::vector<EndpointId> leaving_endpoints;
  std::vector<CustomerDemand> demands;

  /** Jobs that have run at the sender for so long that their callers may send
   * them again elsewhere.
   */
  std::vector<JobInProgress> jobs_in_progress;
  /** Room of the groups of endpoints that the sender owns. */
  std::vector<GroupLoad> group_loads;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_HEARTBEAT_H_
