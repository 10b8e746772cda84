#ifndef DOGWOODFALL_MODULES_RECORDS_SLOT_TABLE_H_
#define DOGWOODFALL_MODULES_RECORDS_SLOT_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/millis.h"
#include "base/result.h"
#include "records/journal_ref.h"

namespace dogwoodfall {

/** A journal of a previous owner that holds claims of a hash slot. */
struct PreviousOwner {
  JournalRef journal;
  /** Highest id timestamp of the claims of the slot in that journal. */
  Millis max_id_timestamp;
};

/** Ownership of one hash slot, a partition of the caller-chosen ids. */
struct SlotEntry {
  /** Journal of the current owner, or none. */
  JournalRef owner;
  std::vector<PreviousOwner> previous_owners;
};

/** Ownership of all hash slots; stored as one value. */
struct SlotTable {
  /** Ids with a lower id timestamp are no longer known. */
  Millis low_watermark;
  /** Identity of the store's history at the time of writing. A different one in
   * the store's answers means that the store was restored.
   */
  uint64_t cluster_id = 0;
  /** Number of store restores from which the daemons have recovered. */
  uint64_t recoveries = 0;
  std::vector<SlotEntry> slots;
};

/** Store key of the table. */
inline constexpr const char* kSlotTableKey = "dogwoodfall/slots";

/** Returns the JSON text of a table. */
std::string Encode(const SlotTable& table);

/** Parses a table; fails with kInternal. */
Result<SlotTable> DecodeSlotTable(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_RECORDS_SLOT_TABLE_H_
