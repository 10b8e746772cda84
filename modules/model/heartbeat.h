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

/** Number of tasks of a customer that a daemon runs and has queued. */
struct CustomerDemand {
  CustomerId customer;
  uint32_t running = 0;
  uint32_t queued = 0;
};

/** State of a daemon, sent to every other daemon at a fixed interval. */
struct Heartbeat {
  DaemonRef from;
  ZoneId zone;
  /** Time of sending, on the sender's clock. */
  Millis sent_at;
  /** Increases within an incarnation; the receiver drops older heartbeats. */
  uint64_t number = 0;
  /** Revision of the configuration active at the sender. */
  uint64_t revision = 0;
  /** Revision at which the sender last saw the slot table change. */
  uint64_t table_revision = 0;
  /** Highest revision of the store that the sender has seen. */
  uint64_t store_revision = 0;
  /** Identity of the store's history that store_revision belongs to. */
  uint64_t store_cluster_id = 0;
  /** True when the sender can own hash slots of caller-chosen ids. */
  bool can_claim = false;
  /** Free slots of the sender's endpoints. */
  uint32_t free_slots = 0;
  uint32_t queued_tasks = 0;
  /** True when the sender accepts no new work. */
  bool draining = false;
  /** The receiver's incarnation, if the sender has declared it ended; 0
   * otherwise.
   */
  Incarnation ended_receiver;
  /** Endpoints that were reported to the sender as about to be removed. */
  std::vector<EndpointId> leaving_endpoints;
  std::vector<CustomerDemand> demands;

  /** Jobs that have run at the sender for so long that their callers may
   * resend them to another daemon.
   */
  std::vector<JobInProgress> jobs_in_progress;
  /** Load of the groups of endpoints that the sender owns. */
  std::vector<GroupLoad> group_loads;

  /** Jobs that the receiver of this heartbeat schedules, and whose results the
   * sender waits for. Such a heartbeat answers one of the receiver's and says
   * nothing else.
   */
  std::vector<SubmissionId> confirmed_jobs;
  /** Time of sending of the heartbeat that it answers, on that sender's clock.
   */
  Millis answered_sent_at;
  /** Jobs that the receiver of this heartbeat has announced, and that the
   * sender will not take for new ones for a while. Part of such an answer.
   */
  std::vector<SubmissionId> acknowledged_jobs;
  /** Revision of the evacuated zones known to the sender; 0 if it doesn't know
   * them.
   */
  uint64_t evacuation_revision = 0;
};

/** Returns true for a heartbeat that answers another one. */
inline bool IsAnswer(const Heartbeat& heartbeat) {
  return heartbeat.answered_sent_at != Millis() ||
         !heartbeat.confirmed_jobs.empty() ||
         !heartbeat.acknowledged_jobs.empty();
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_HEARTBEAT_H_
