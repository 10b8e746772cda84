#ifndef DOGWOODFALL_MODULES_CORE_FLEET_STORE_SESSION_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_STORE_SESSION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/fleet_member.h"
#include "ports/action.h"

namespace dogwoodfall {

/** Purpose of a call to the store. */
enum class StoreCallPurpose : uint8_t {
  /** Reads the daemons' items, then watches them for changes. */
  kFollowDaemons = 0,
  /** Reads the endpoints' items, then polls for changes. */
  kFollowEndpoints = 1,
  /** Keeps this daemon's item under a lease. */
  kRegister = 2,
  /** Removes the item of an unreachable daemon. */
  kEvict = 3,
  /** Reads the changes of the daemons' items since the last ones received. */
  kConfirmMembership = 4,
  /** Reads the operators' items, then watches them for changes. */
  kFollowRoutes = 5,
  /** Reads the changes of the endpoints' items since the last ones received. */
  kConfirmEndpoints = 6,
};

/** Follows the changes of a part of the store's items. */
struct StoreFollower {
  static StoreFollower Of(ItemScope scope) {
    StoreFollower follower;
    follower.scope = scope;
    return follower;
  }

  ItemScope scope = ItemScope::kEndpoints;
  /** Items of the pages read so far, during the initial read. */
  std::vector<StoreChange> pages;
  std::string last_page_key;
  uint64_t first_page_revision = 0;
  /** True once all items were read; from then on only changes are requested. */
  bool is_following = false;
  /** Revision up to which all changes were received. */
  uint64_t followed_to = 0;
  /** When the next call is due. */
  Millis next_call_at;
  uint32_t failures = 0;
  bool is_call_pending = false;
  /** The pending call, or the latest one. */
  StoreToken last_call;
  /** True when the next watch has to be answered at once, because its
   * connection or the one before may be silent.
   */
  bool is_in_doubt = false;
  /** True once a part of the reply to the pending call has arrived. */
  bool is_reply_arriving = false;
};

/** A daemon's session with the platform's store.
 *
 * Two long-polling calls watch the daemons' and the operators' items, so that
 * changes are seen at once. Another call polls the endpoints' items in batches,
 * because endpoints write them far more often than anything changes; only
 * daemons that own endpoints, or may soon, make it. A fourth call keeps the own
 * item. Each is retried after a delay when it fails, so that an outage costs
 * few calls.
 *
 * Open connections may become silent while new ones work. A watch on one of
 * them looks like one without changes. Therefore a call without an answer
 * replaces the watches that were sent before it, and the wait of a watch is
 * limited so that a silent one is replaced within max_silence. A watch whose
 * reply is arriving is not silent and is kept, and the reply to a replaced one
 * counts if it comes after all: on a slow link, large replies take longer than
 * the timeout of a call, and would be requested again and again.
 */
struct StoreSession {
  /** The item to keep; the store sets its revisions. */
  FleetMember self;
  /** Time within which changes have to be received after connections have
   * become silent.
   */
  Millis max_silence{3'000};
  std::map<StoreToken, StoreCallPurpose> calls;
  uint64_t last_token = 0;
  /** The latest call to confirm the membership; none while none is pending. */
  StoreToken confirmation;
  /** The latest call to confirm the endpoints; none while none is pending. */
  StoreToken endpoints_confirmation;

  StoreFollower daemons = StoreFollower::Of(ItemScope::kDaemons);
  StoreFollower endpoints = StoreFollower::Of(ItemScope::kEndpoints);
  StoreFollower routes = StoreFollower::Of(ItemScope::kRoutes);
  /** True while this daemon needs the endpoints' items. */
  bool needs_endpoints = false;

  /** Lease of the own item; 0 while none is open. */
  uint64_t lease = 0;
  /** True while the store has the item with the content of `self`. */
  bool is_registered = false;
  /** Revision at which the own item is expected; 0 if there is none. */
  uint64_t item_revision = 0;
  Millis next_registration_at;
  uint32_t registration_failures = 0;
  bool is_registration_pending = false;
  /** True once the lease is being ended; it is not renewed any more. */
  bool is_deregistering = false;

  bool is_reachable = false;
  /** Calls that the store has rejected or not answered since the start. */
  uint64_t rejected_calls = 0;
  uint64_t unanswered = 0;
};

/** Items or changes received from the store. */
struct StoreUpdate {
  ItemScope scope = ItemScope::kEndpoints;
  /** True when the changes list all items of the scope, so that items that are
   * not listed no longer exist.
   */
  bool is_snapshot = false;
  /** Revision of the snapshot, or up to which changes are listed. */
  uint64_t revision = 0;
  std::vector<StoreChange> changes;
  /** True when the membership and the endpoints, with these changes, are those
   * of a time after the latest call of ConfirmMembership().
   */
  bool is_membership_confirmed = false;
};

/** Issues the calls that are due. */
void AdvanceStoreSession(StoreSession& session, Millis now, Actions& actions);

/** Takes note that a part of the reply to a call has arrived, and that the rest
 * will take time.
 */
void NoteReplyArriving(StoreSession& session, StoreToken token);

/** Handles the reply to a call and issues the calls that are due then.
 * @return the update that the reply contains; empty when it has none
 */
StoreUpdate HandleKeyValueReply(StoreSession& session,
                                StoreToken token,
                                const KeyValueReply& reply,
                                Millis now,
                                Actions& actions);

/** Starts or stops following the endpoints' items. They are read again after
 * they were not followed.
 */
void SetEndpointsNeeded(StoreSession& session, bool is_needed);

/** Requests that the own item is written again, after it has changed or was
 * lost.
 */
void RequestRegistration(StoreSession& session, Millis now);

/** Removes the item of an unreachable daemon, if it has not changed. */
void EvictMember(StoreSession& session,
                 const FleetMember& member,
                 Actions& actions);

/** Reads the changes of the daemons' items that the session has not received
 * yet. The update with is_membership_confirmed contains them.
 */
void ConfirmMembership(StoreSession& session, Actions& actions);

/** Ends the lease, which removes the own item. */
void DeregisterFromStore(StoreSession& session, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_STORE_SESSION_H_
