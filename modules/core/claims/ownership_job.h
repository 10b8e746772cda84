#ifndef DOGWOODFALL_MODULES_CORE_CLAIMS_OWNERSHIP_JOB_H_
#define DOGWOODFALL_MODULES_CORE_CLAIMS_OWNERSHIP_JOB_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/millis.h"
#include "records/journal_ref.h"
#include "records/journal_segment.h"
#include "records/slot_table.h"

namespace dogwoodfall {

/** Step of changing the table of slots. */
enum class OwnershipStage : uint8_t {
  kIdle = 0,
  kReadingTable = 1,
  kReadingHead = 2,
  kSealing = 3,
  kReadingJournal = 4,
  kWritingTable = 5,
  /** The answer to the write was lost; the table is read back. */
  kConfirming = 6,
};

/** One change of the table of slots, step by step. */
struct OwnershipJob {
  OwnershipStage stage = OwnershipStage::kIdle;
  /** True when the new table ends a recovery from a restore of the store. */
  bool is_recovery = false;
  /** Slots to take over. */
  std::vector<uint32_t> wanted;
  /** Slots to give away. */
  std::vector<uint32_t> released;
  /** Journals that must be final before they are read; taken from the back. */
  std::vector<JournalRef> to_seal;
  /** Revision and floor of the head of the journal to seal next. */
  uint64_t head_revision = 0;
  Millis head_floor;
  /** Journals to read; taken from the back. */
  std::vector<JournalRef> to_read;
  /** Claims read so far. */
  std::map<JournalRef, std::vector<Claim>> claims;
  /** Highest floor of the journals read. */
  Millis low_watermark;
  SlotTable new_table;
  std::string new_text;
  /** Journals that are deleted with the write. */
  std::vector<JournalRef> unused;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_CLAIMS_OWNERSHIP_JOB_H_
