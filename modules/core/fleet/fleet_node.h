#ifndef DOGWOODFALL_MODULES_CORE_FLEET_FLEET_NODE_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_FLEET_NODE_H_

/** @file
 * Module fleet: a daemon on the users' platform. Joins the scheduler, the
 * receiver of callers' jobs, the other daemons and the platform's store.
 *
 * fleet_view.h says who gives orders to which endpoint, store_session.h deals
 * with the store, reception.h keeps callers' jobs until they are answered,
 * assignment_flow.h gives them to schedulers, handover_flow.h tells a job's
 * next scheduler what is known of it, room_flow.h passes jobs to groups with
 * more room, peer_delay.h notices messages that were held up, and
 * fleet_events.h has the functions that the outside calls.
 */

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/fleet/fleet_view.h"
#include "core/fleet/peer_delay.h"
#include "core/fleet/reception.h"
#include "core/fleet/store_session.h"
#include "core/peers/peer_session.h"
#include "core/scheduling/scheduler.h"
#include "model/heartbeat.h"
#include "model/route_table.h"

namespace dogwoodfall {

/** What is heard of a peer. */
struct PeerStatus {
  Millis last_received_at;
  /** When its former process life was last heard. */
  Millis former_heard;
  Heartbeat last;
  PeerDelay delay;
  /** True once its item was asked to be removed. */
  bool is_evicted = false;
  /** Since when it is known to lag behind; zero while it does not. */
  Millis behind_since;
};

/** A job that came before the view which makes this daemon its scheduler. */
struct EarlyJob {
  DaemonRef receiver;
  JobSubmission submission;
  Millis received_at;
};

/** A job that this daemon had or was told of, and that another one has now. */
struct PassedJob {
  DaemonRef to;
  /** True when this daemon never took it and nobody else had it before. */
  bool is_untouched = false;
  Millis at;
};

/** The whole state of a daemon on the platform. */
struct FleetNode {
  DaemonRef self;
  ZoneId zone;
  FleetView view;
  RouteTable routes;
  /** Every endpoint in the store. */
  std::map<EndpointId, EndpointEntry> entries;
  StoreSession store;
  PeerSessions sessions;
  std::map<DaemonId, PeerStatus> peers;
  /** Daemons that live but have lost their item: the store may turn them away.
   * They get no endpoints, and their callers' jobs are served.
   */
  std::map<DaemonId, FleetMember> unregistered_daemons;
  Scheduler scheduler;
  Reception reception;
  std::vector<EarlyJob> early_jobs;
  /** Where jobs went, for word of them that comes later. */
  std::unordered_map<SubmissionId, PassedJob> passed_jobs;
  uint64_t heartbeat_number = 0;
  Millis next_heartbeat;
  Millis next_review;
  /** Set once a planned stop has begun. */
  bool is_stopping = false;
  Millis stop_began;
  /** True once endpoints were given away for the stop. */
  bool has_exited = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_FLEET_NODE_H_
