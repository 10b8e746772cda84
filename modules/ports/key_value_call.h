#ifndef DOGWOODFALL_MODULES_PORTS_KEY_VALUE_CALL_H_
#define DOGWOODFALL_MODULES_PORTS_KEY_VALUE_CALL_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "ports/store_change.h"

namespace dogwoodfall {

/** Which items of the store a call is about. */
enum class ItemScope : uint8_t {
  /** The daemons' own items; they change seldom. */
  kDaemons = 0,
  /** All items. Endpoints write theirs every second or two. */
  kEverything = 1,
};

/** Reads one page of items. */
struct ReadItems {
  ItemScope scope = ItemScope::kEverything;
  /** The page begins behind this key; empty for the first. */
  std::string after_key;
};

/** Waits until an item changes. */
struct WatchItems {
  ItemScope scope = ItemScope::kEverything;
  /** Only changes behind this revision of the store. */
  uint64_t after_revision = 0;
  Millis wait;
};

/** Opens a lease; items written under it go when it ends. */
struct OpenLease {
  Millis length;
};

/** Makes a lease last for its length from now. */
struct RenewLease {
  uint64_t lease = 0;
};

/** Ends a lease with all its items. */
struct EndLease {
  uint64_t lease = 0;
};

/** Writes the item of a daemon. */
struct WriteMember {
  FleetMember member;
  uint64_t lease = 0;
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

/** How a call to the store ended. */
enum class KeyValueOutcome : uint8_t {
  kDone = 0,
  /** The condition did not hold, or there is no such lease or item. */
  kConditionFailed = 1,
  /** The history that the watch asked for is no longer kept. */
  kHistoryCompacted = 2,
  /** Turned away; nothing was done. */
  kRejected = 3,
  /** No answer; it may have been done. */
  kUnanswered = 4,
};

/** What the store answered. */
struct KeyValueReply {
  KeyValueOutcome outcome = KeyValueOutcome::kUnanswered;
  /** What was read or has changed, in the order of the changes. */
  std::vector<StoreChange> changes;
  /** Last key of a page. */
  std::string last_key;
  bool has_more_pages = false;
  /** Revision of the store as a whole, or of the change made; 0 if unknown. */
  uint64_t store_revision = 0;
  uint64_t lease = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_KEY_VALUE_CALL_H_
