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
#include "core/claims/claim_book.h"
#include "core/dispatch/dispatch.h"
#include "core/drain/drain_state.h"
#include "core/ledger/ledger.h"
#include "core/membership/membership.h"
#include "core/node/node_counters.h"
#include "core/node/node_settings.h"
#include "core/node/note_waiter.h"
#include "core/node/open_store_call.h"
#include "core/node/pending_forward.h"
#include "core/peers/peer_session.h"
#include "model/configuration.h"

namespace dogwoodfall {

/** The whole state of a daemon's core.
 *
 * Plain data; node_events.h has the functions that the outside calls.
 */
struct Node {
  NodeSettings settings;
  Configuration configuration;
  /** The lists in force as they stand in the store. */
  std::string configuration_text;
  Membership membership;
  PeerSessions sessions;
  Ledger ledger;
  ClaimRegistry claims;
  Dispatch dispatch;
  DrainState drain;
  NodeCounters counters;

  std::unordered_map<ForwardId, PendingForward> forwards;
  uint64_t last_forward = 0;
  /** When to answer long polls that wait for a submission. */
  std::multimap<Millis, SubmissionKey> polls;
  /** Submissions whose claim is not written, by the end of their wait. */
  std::multimap<Millis, SubmissionKey> claim_waits;
  /** Who knows the submissions of homes that are gone. */
  std::map<DaemonRef, DaemonRef> successors;
  /** Homes that are gone and left no note. */
  std::set<DaemonRef> without_note;
  /** Requests that wait until the note of a home is read. */
  std::map<DaemonRef, std::vector<NoteWaiter>> note_waiters;

  std::map<StoreToken, OpenStoreCall> store_calls;
  uint64_t last_store_token = 0;
  bool ownership_call_out = false;
  bool configuration_call_out = false;
  Millis next_configuration_read;

  /** True once peers have declared this process life ended: what they gave it
   * is settled, and it can only answer its callers and stop.
   */
  bool is_expelled = false;
  uint64_t heartbeat_number = 0;
  Millis next_heartbeat;
  /** True while tasks are being assigned, so that it is not begun again. */
  bool is_pumping = false;
};

/** Sets a core up for a process life that begins now. */
Node OpenNode(const NodeSettings& settings);

/** True when the daemon may take callers' requests: it has lists in force and
 * is not stopping.
 */
bool IsReady(const Node& node);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_NODE_H_
