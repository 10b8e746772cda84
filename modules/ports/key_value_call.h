#ifndef DOGWOODFALL_MODULES_PORTS_KEY_VALUE_CALL_H_
#define DOGWOODFALL_MODULES_PORTS_KEY_VALUE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "ports/store_change.h"

namespace dogwoodfall {

/** Selects the items of the store that a call reads. */
enum class ItemScope : uint8_t {
  /** Items of daemons; they rarely change. */
  kDaemons = 0,
  /** Items of endpoints. Each is written every one to two seconds. */
  kEndpoints = 1,
  /** Items of the operators, with the routes; they rarely change. */
  kRoutes = 2,
};

/** Reads one page of items. */
struct ReadItems {
  ItemScope scope = ItemScope::kEndpoints;
  /** The page begins after this key; empty for the first page. */
  std::string after_key;
};

/** Waits until an item changes. */
struct WatchItems {
  ItemScope scope = ItemScope::kEndpoints;
  /** Only changes after this revision of the store are reported. */
  uint64_t after_revision = 0;
  Millis wait;
};

/** Opens a lease; items written under it are removed when it ends. */
struct OpenLease {
  Millis length;
};

/** Renews a lease for its full length. */
struct RenewLease {
  uint64_t lease = 0;
};

/** Ends a lease, which removes all its items. */
struct EndLease {
  uint64_t lease = 0;
};

/** Writes the item of a daemon if it is still at a revision. */
struct WriteMember {
  FleetMember member;
  uint64_t lease = 0;
  /** 0 if there must be no item. */
  uint64_t expected_revision = 0;
};

/** Removes the item of a daemon if it is still at this revision. */
struct RemoveMember {
  DaemonId id;
  uint64_t revision = 0;
};

/** A call to the platform's store. */
using KeyValueCall = std::variant<ReadItems,
                                  WatchItems,
                                  OpenLease,
                                  RenewLease,
                                  EndLease,
                                  WriteMember,
                                  RemoveMember>;

/** Outcome of a call to the store. */
enum class KeyValueOutcome : uint8_t {
  kDone = 0,
  /** The condition was not met, or there is no such lease or item. */
  kConditionFailed = 1,
  /** The store no longer has the revisions that the watch requested. */
  kHistoryCompacted = 2,
  /** The store rejected the call and did nothing. */
  kRejected = 3,
  /** No answer; the call may have been executed. */
  kUnanswered = 4,
  /** The answer can't be parsed or lacks a field; the call may have been
   * executed.
   */
  kMalformed = 5,
};

/** Answer of the store to a call. */
struct KeyValueReply {
  KeyValueOutcome outcome = KeyValueOutcome::kUnanswered;
  /** Items that were read or have changed, in the order of the changes. */
  std::vector<StoreChange> changes;
  /** Last key of a page. */
  std::string last_key;
  bool has_more_pages = false;
  /** Revision of the whole store, or of the change made; 0 if unknown. */
  uint64_t store_revision = 0;
  uint64_t lease = 0;
  /** Revision of the item if it was not the one that the call expected; 0 if
   * there is no item.
   */
  std::optional<uint64_t> conflicting_revision;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_KEY_VALUE_CALL_H_
