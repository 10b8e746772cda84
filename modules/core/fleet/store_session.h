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

/** What a call to the store is for. */
enum class StoreDuty : uint8_t {
  /** Reading the daemons' items, then waiting for changes. */
  kFollowDaemons = 0,
  /** The same for all items. */
  kFollowEverything = 1,
  /** Keeping this daemon's item under a lease. */
  kRegister = 2,
  /** Removing the item of a daemon that is gone. */
  kEvict = 3,
};

/** Follows what changes in a part of the store. */
struct StoreFollower {
  static StoreFollower Of(ItemScope scope) {
    StoreFollower follower;
    follower.scope = scope;
    return follower;
  }

  ItemScope scope = ItemScope::kEverything;
  /** Pages read so far, while the items are being read. */
  std::vector<StoreChange> pages;
  std::string last_page_key;
  uint64_t first_page_revision = 0;
  /** True once all items were read; changes are followed from then on. */
  bool is_following = false;
  uint64_t followed_to = 0;
  /** When the next call is due. */
  Millis next_call;
  uint32_t failures = 0;
  bool is_call_out = false;
};

/** A daemon's dealings with the platform's store.
 *
 * One waiting call learns at once when a daemon comes or goes. Another gathers
 * all other changes at intervals, as endpoints write far more often than
 * anything changes. A third keeps the own item. Each is made again after a
 * pause when it fails, so an outage costs few calls.
 */
struct StoreSession {
  /** The item to keep; its revisions are the store's to fill in. */
  FleetMember self;
  std::map<StoreToken, StoreDuty> calls;
  uint64_t last_token = 0;

  StoreFollower daemons = StoreFollower::Of(ItemScope::kDaemons);
  StoreFollower everything = StoreFollower::Of(ItemScope::kEverything);

  uint64_t lease = 0;
  /** True when the item as it stands in self is in the store. */
  bool is_registered = false;
  Millis next_registration;
  uint32_t registration_failures = 0;
  bool registration_out = false;
  /** True once the lease is to end. */
  bool is_leaving_store = false;

  bool is_reachable = false;
  uint64_t rejected_calls = 0;
  uint64_t unanswered = 0;
};

/** What the store has told. */
struct StoreNews {
  ItemScope scope = ItemScope::kEverything;
  /** True when the changes are all there is: what is missing is gone. */
  bool is_snapshot = false;
  /** Revision at which a snapshot holds. */
  uint64_t revision = 0;
  std::vector<StoreChange> changes;
};

/** Makes the calls that are due. */
void AdvanceStoreSession(StoreSession& session, Millis now, Actions& actions);

/** Takes the answer to a call. */
StoreNews TakeKeyValueReply(StoreSession& session,
                            StoreToken token,
                            const KeyValueReply& reply,
                            Millis now,
                            Actions& actions);

/** Has the own item written again, after it changed or was lost. */
void RegisterAgain(StoreSession& session, Millis now);

/** Removes the item of a daemon that is gone, if it has not changed. */
void EvictMember(StoreSession& session,
                 const FleetMember& member,
                 Actions& actions);

/** Ends the lease, and with it the own item. */
void LeaveStore(StoreSession& session, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_STORE_SESSION_H_
