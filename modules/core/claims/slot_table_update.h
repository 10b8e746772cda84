#ifndef DOGWOODFALL_MODULES_CORE_CLAIMS_SLOT_TABLE_UPDATE_H_
#define DOGWOODFALL_MODULES_CORE_CLAIMS_SLOT_TABLE_UPDATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/millis.h"
#include "records/journal_ref.h"
#include "records/journal_segment.h"
#include "records/slot_table.h"

namespace dogwoodfall {

/** Stage of an update of the slot table. */
enum class SlotTableUpdateStage : uint8_t {
  kIdle = 0,
  kReadingTable = 1,
  kReadingHead = 2,
  kSealing = 3,
  kReadingJournal = 4,
  kWritingTable = 5,
  /** The reply to the write was lost; the table is read back. */
  kConfirming = 6,
};

/** One update of the slot table, made in several store calls. */
struct SlotTableUpdate {
  SlotTableUpdateStage stage = SlotTableUpdateStage::kIdle;
  /** True when the new table completes the recovery from a store restore. */
  bool is_recovery = false;
  std::vector<uint32_t> slots_to_acquire;
  std::vector<uint32_t> slots_to_release;
  /** Journals that must be sealed before they are read; processed from the
   * back.
   */
  std::vector<JournalRef> journals_to_seal;
  /** Head revision and low watermark of the journal to seal next. */
  uint64_t head_revision = 0;
  Millis head_low_watermark;
  /** Journals to read; processed from the back. */
  std::vector<JournalRef> journals_to_read;
  /** Claims read so far. */
  std::map<JournalRef, std::vector<Claim>> claims;
  /** Maximum low watermark of the journals read. */
  Millis low_watermark;
  SlotTable new_table;
  std::string encoded_new_table;
  /** Journals that are deleted in the transaction that writes the table. */
  std::vector<JournalRef> unused_journals;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_CLAIMS_SLOT_TABLE_UPDATE_H_
