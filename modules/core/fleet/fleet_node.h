#ifndef DOGWOODFALL_MODULES_CORE_FLEET_FLEET_NODE_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_FLEET_NODE_H_

/** @file
 * Module fleet: a daemon on the users' platform. Connects the scheduler, the
 * receiver of callers' jobs, the other daemons and the platform's store.
 *
 * - fleet_view.h: which daemon owns which endpoints
 * - store_session.h: calls to the store
 * - reception.h: callers' jobs until they are answered
 * - assignment_flow.h: assigns these jobs to schedulers
 * - heartbeat_flow.h: which daemons exchange heartbeats
 * - confirmation_flow.h: receivers confirm the jobs that they wait for
 * - announcement_flow.h: schedulers announce jobs that may be sent again
 * - cancellation_flow.h: callers' requests to cancel jobs
 * - handover_flow.h: transfers a job's progress to its next scheduler
 * - spillover_flow.h: forwards jobs to less loaded groups
 * - zone_evacuation.h: which zones operators have evacuated
 * - evacuation_flow.h: keeps jobs away from these zones
 * - peer_clock.h: bounds the age of messages
 * - pause_flow.h: suspends starts after the process was paused
 * - cut_off_flow.h: requests that a network cut has held up
 * - fleet_events.h: the entry points for events from outside
 */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/fleet/evacuation_counters.h"
#include "core/fleet/fleet_view.h"
#include "core/fleet/peer_clock.h"
#include "core/fleet/pending_cancellation.h"
#include "core/fleet/reception.h"
#include "core/fleet/store_session.h"
#include "core/peers/peer_session.h"
#include "core/scheduling/scheduler.h"
#include "model/evacuation_state.h"
#include "model/heartbeat.h"
#include "model/route_table.h"

namespace dogwoodfall {

/** State of a peer, as last reported to this daemon. */
struct PeerStatus {
  Millis last_received_at;
  /** When the last message of its previous incarnation was received. */
  Millis previous_incarnation_received_at;
  /** The last heartbeat of its previous incarnation, whose runs may go on. */
  Heartbeat previous_incarnation_heartbeat;
  Heartbeat last_heartbeat;
  PeerClock clock;
  /** When the last heartbeat of it was answered. */
  Millis answered_at;
  /** When the last heartbeat or answer was read, and its maximum age then. */
  Millis heartbeat_read_at;
  std::optional<Millis> heartbeat_age;
  /** Period of the heartbeats that it sends to this daemon, or zero; unchanged
   * after the peer's removal from the view.
   */
  Millis heartbeat_period;
  /** The announced jobs that its latest answer acknowledges. */
  std::set<SubmissionId> acknowledged_jobs;
  /** When the heartbeat was sent that it has answered. */
  Millis acknowledged_at;
  /** When the last heartbeat was sent to it. */
  Millis heartbeat_sent_at;
  /** True once the removal of its store item was requested. */
  bool is_eviction_requested = false;
  /** True from the log line about its silence until its next message. */
  bool is_silence_logged = false;
  /** Time since which its view, routes or evacuated zones are known to be
   * outdated; zero while they are current.
   */
  Millis outdated_since;
};

/** A job that arrived before the view that makes this daemon its scheduler, or
 * before the difference of its receiver's clock was known.
 */
struct EarlyJob {
  DaemonRef receiver;
  JobSubmission submission;
  Millis received_at;
  /** False until a round trip with its receiver has shown its age. */
  bool is_age_known = true;
};

/** A job that this daemon scheduled or was sent, and that another daemon
 * schedules now.
 */
struct ForwardedJob {
  DaemonRef to;
  /** The other group that was chosen for it when its own was full; without a
   * zone for a job that only changed its scheduler.
   */
  EndpointGroup spillover_group;
  /** True when this daemon never accepted the job and no other daemon had it
   * before, so that none of its tasks can have started.
   */
  bool is_known_unstarted = false;
  Millis forwarded_at;
  /** Daemons that waited for its result when it was released here. Once all of
   * them are lost, its runs that this daemon still manages are stopped.
   */
  std::vector<DaemonRef> receivers;
  /** True once its next scheduler was lost and its runs that this daemon still
   * manages were stopped.
   */
  bool is_scheduler_lost = false;
  /** The group that the next scheduler runs it in, as far as known here;
   * without a zone for a job that was never accepted here.
   */
  EndpointGroup released_group;
  /** When the receiver got it, if it was accepted here. */
  Millis received_at;
};

/** A time in which this daemon was cut off from the store and its peers. */
struct NetworkCut {
  Millis began_at;
  Millis ended_at;
};

/** The whole state of a daemon on the platform. */
struct FleetNode {
  DaemonRef self;
  ZoneId zone;
  FleetView view;
  RouteTable routes;
  EvacuationState evacuation;
  EvacuationCounters evacuation_counters;
  /** Entries of all endpoints in the store. */
  std::map<EndpointId, EndpointEntry> entries;
  StoreSession store;
  PeerSessions sessions;
  std::map<DaemonId, PeerStatus> peers;
  /** Daemons that run but have lost their store item, for example because the
   * store rejects their calls. They own no endpoints, but their callers' jobs
   * are served.
   */
  std::map<DaemonId, FleetMember> unregistered_daemons;
  Scheduler scheduler;
  Reception reception;
  std::vector<EarlyJob> early_jobs;
  /** Jobs that were forwarded. Progress and requests for them that arrive later
   * are routed by these records.
   */
  std::unordered_map<SubmissionId, ForwardedJob> forwarded_jobs;
  /** Requests to cancel jobs that other daemons have not answered yet. */
  std::map<ForwardId, PendingCancellation> cancellations;
  uint64_t last_cancellation = 0;
  /** Jobs that were cancelled, with the time until which they are known. */
  std::unordered_map<SubmissionId, Millis> cancelled_jobs;
  uint64_t heartbeat_number = 0;
  /** When the first heartbeat was sent; zero before. */
  Millis first_heartbeat_at;
  /** Number of heartbeat periods so far. */
  uint64_t heartbeat_round = 0;
  /** When the latest event was handled; zero before the first one. */
  Millis last_event_at;
  /** When the latest pause of this process ended. */
  Millis last_pause_ended_at;
  /** True until the requests have been read that arrived during that pause. */
  bool has_backlog = false;
  /** When the first of these requests may have arrived. */
  Millis backlog_began_at;
  /** True when a job was received after the latest tick. */
  bool has_received_job = false;
  /** True when daemons of other zones send heartbeats to this one. */
  bool hears_other_zones = false;
  /** When the store or a peer was last heard (cut_off_flow.h); zero before the
   * first time.
   */
  Millis outside_heard_at;
  NetworkCut last_cut;
  /** When the latest request of a caller was read. */
  Millis last_request_at;
  /** When the first one was read of those that arrived together with it. */
  Millis request_burst_began_at;
  /** When the last request before these was read. */
  Millis no_request_since;
  Millis next_heartbeat_at;
  Millis next_review_at;
  /** True once a graceful shutdown has begun. */
  bool is_stopping = false;
  Millis shutdown_started_at;
  /** True once the store item was removed and ExitProcess was requested. */
  bool is_exit_requested = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_FLEET_NODE_H_
