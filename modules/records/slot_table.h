#ifndef DOGWOODFALL_MODULES_RECORDS_SLOT_TABLE_H_
#define DOGWOODFALL_MODULES_RECORDS_SLOT_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/millis.h"
#include "base/result.h"
#include "records/journal_ref.h"

namespace dogwoodfall {

/** A journal that holds claims of a slot from before the present owner. */
struct PreviousOwner {
  JournalRef journal;
  /** Latest time in an id of the slot in that journal. */
  Millis max_id_timestamp;
};

/** Who decides over one part of the ids that callers choose. */
struct SlotEntry {
  /** Journal of the owner, or none. */
  JournalRef owner;
  std::vector<PreviousOwner> previous;
};

/** The owners of all slots, one value in the store. */
struct SlotTable {
  /** Ids with a time below this one are not known any more. */
  Millis low_watermark;
  /** Identity of the store's history in which the table was written; another
   * one in the store's answers means that the store was restored.
   */
  uint64_t cluster_id = 0;
  /** Restores of the store that were recovered from. */
  uint64_t recoveries = 0;
  std::vector<SlotEntry> slots;
};

/** Key of the table. */
inline constexpr const char* kSlotTableKey = "dogwoodfall/slots";

/** The text of a table. */
std::string Encode(const SlotTable& table);

/** Reads a table; fails with kInternal. */
Result<SlotTable> DecodeSlotTable(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_RECORDS_SLOT_TABLE_H_
