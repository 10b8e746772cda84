#ifndef DOGWOODFALL_MODULES_CORE_NODE_NODE_H_
#define DOGWOODFALL_MODULES_CORE_NODE_NODE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/claims/claim_registry.h"
#include "core/dispatch/dispatch.h"
#include "core/drain/drain_state.h"
#include "core/ledger/ledger.h"
#include "core/membership/membership.h"
#include "core/node/node_counters.h"
#include "core/node/node_settings.h"
#include "core/node/open_store_call.h"
#include "core/node/pending_forward.h"
#include "core/node/successor_record_waiter.h"
#include "core/peers/peer_session.h"
#include "model/configuration.h"

namespace dogwoodfall {

/** The complete state of a daemon's core.
 *
 * Plain data. node_events.h declares the entry points that change it.
 */
struct Node {
  NodeSettings settings;
  Configuration configuration;
  /** The active configuration as it is stored. */
  std::string configuration_text;
  Membership membership;
  PeerSessions sessions;
  Ledger ledger;
  ClaimRegistry claims;
  Dispatch dispatch;
  DrainState drain;
  NodeCounters counters;

  std::unordered_map<ForwardId, PendingForward> forwards;
  uint64_t last_forward_id = 0;
  /** Submissions that long polls wait for, by the time to answer the poll. */
  std::multimap<Millis, SubmissionKey> poll_deadlines;
  /** Submissions whose claim is pending, by the time at which it expires. */
  std::multimap<Millis, SubmissionKey> claim_timeouts;
  /** Daemons that adopted the submissions of homes that are gone. */
  std::map<DaemonRef, DaemonRef> successors;
  /** Homes that are gone and have no successor record in the store. */
  std::set<DaemonRef> homes_without_successor_record;
  /** Requests that wait for the successor record of a home. */
  std::map<DaemonRef, std::vector<SuccessorRecordWaiter>>
      successor_record_waiters;

  std::map<StoreToken, OpenStoreCall> store_calls;
  uint64_t last_store_token = 0;
  bool is_ownership_call_open = false;
  bool is_configuration_call_open = false;
  Millis next_configuration_read_at;

  /** True once peers have declared this incarnation ended. They have resolved
   * the tasks assigned to it, so it can only answer its callers and exit.
   */
  bool is_expelled = false;
  uint64_t heartbeat_number = 0;
  Millis next_heartbeat_at;
  /** True while DispatchTasks() runs; guards against re-entry. */
  bool is_dispatching = false;
};

/** Creates the core of an incarnation that starts now. */
Node CreateNode(const NodeSettings& settings);

/** Returns true if the daemon may accept callers' requests: it has an active
 * configuration and is not shutting down.
 */
bool IsReady(const Node& node);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_NODE_H_
