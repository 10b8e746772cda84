#include "core/claims/slot_planning.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dogwoodfall {
namespace {

/** True when nobody serves the slot any more. */
bool IsFree(const ClaimRegistry& book,
            const JournalRef& owner,
            const OwnershipContext& view) {
  if (IsNone(owner))
    return true;
  // An own journal that is not in use any more was sealed, or is of no use.
  if (owner.daemon == book.self)
    return !IsOwn(book, owner);
  return view.is_gone(owner.daemon);
}

Millis NewestIn(const ClaimRegistry& book,
                const std::vector<Claim>& claims,
                uint32_t slot) {
  Millis max_id_timestamp;
  for (const Claim& claim : claims) {
    if (SlotOf(book, SubmissionKey(claim.key)) == slot)
      max_id_timestamp = std::max(max_id_timestamp, claim.id_timestamp);
  }
  return max_id_timestamp;
}

void AddFormer(SlotEntry& entry,
               const JournalRef& journal,
               Millis max_id_timestamp) {
  for (PreviousOwner& previous : entry.previous) {
    if (previous.journal == journal) {
      previous.max_id_timestamp =
          std::max(previous.max_id_timestamp, max_id_timestamp);
      return;
    }
  }
  entry.previous.push_back({journal, max_id_timestamp});
}

/** Drops journals whose claims are all older than the window. */
void TrimFormer(SlotTable& table, Millis oldest_kept) {
  for (SlotEntry& entry : table.slots) {
    for (const PreviousOwner& previous : entry.previous) {
      if (previous.max_id_timestamp < oldest_kept)
        table.low_watermark = std::max(table.low_watermark,
                                       previous.max_id_timestamp + Millis{1});
    }
    entry.previous.erase(
        std::remove_if(entry.previous.begin(), entry.previous.end(),
                       [oldest_kept](const PreviousOwner& previous) {
                         return previous.max_id_timestamp < oldest_kept;
                       }),
        entry.previous.end());
  }
}

std::set<JournalRef> JournalsOf(const SlotTable& table) {
  std::set<JournalRef> journals;
  for (const SlotEntry& entry : table.slots) {
    if (!IsNone(entry.owner))
      journals.insert(entry.owner);
    for (const PreviousOwner& previous : entry.previous)
      journals.insert(previous.journal);
  }
  return journals;
}

/** Journals that no slot refers to any more and whose owner is gone. */
std::vector<JournalRef> UnusedJournals(const ClaimRegistry& book,
                                       const OwnershipContext& view) {
  std::vector<JournalRef> unused;
  const std::set<JournalRef> kept = JournalsOf(book.job.new_table);
  for (const JournalRef& journal : JournalsOf(book.table)) {
    if (kept.count(journal) == 0 && view.is_gone(journal.daemon))
      unused.push_back(journal);
  }
  return unused;
}

}  // namespace

SlotTable EmptyTable(const ClaimRegistry& book) {
  SlotTable table;
  table.cluster_id = book.cluster_id;
  table.slots.resize(book.serving.size());
  return table;
}

bool IsOwn(const ClaimRegistry& book, const JournalRef& owner) {
  return owner == book.journal;
}

void PlanTakeover(ClaimRegistry& book, const OwnershipContext& view) {
  std::set<JournalRef> to_seal;
  std::set<JournalRef> to_read;
  for (uint32_t slot = 0; slot < book.table.slots.size(); ++slot) {
    const SlotEntry& entry = book.table.slots[slot];
    const bool lost_to_restart =
        IsOwn(book, entry.owner) && !book.serving[slot];
    if (!lost_to_restart &&
        (IsOwn(book, entry.owner) || !IsFree(book, entry.owner, view) ||
         view.preferred_owner(slot) != book.self.id))
      continue;
    book.job.wanted.push_back(slot);
    if (!IsNone(entry.owner) && !IsOwn(book, entry.owner))
      to_seal.insert(entry.owner);
    for (const PreviousOwner& previous : entry.previous)
      to_read.insert(previous.journal);
  }
  to_read.insert(to_seal.begin(), to_seal.end());
  book.job.to_seal.assign(to_seal.begin(), to_seal.end());
  book.job.to_read.assign(to_read.begin(), to_read.end());
}

void PlanRelease(ClaimRegistry& book, const OwnershipContext& view) {
  if (!HasNoOpenClaims(book))
    return;
  for (uint32_t slot = 0; slot < book.table.slots.size(); ++slot) {
    if (book.serving[slot] &&
        (view.is_releasing_all || view.preferred_owner(slot) != book.self.id))
      book.job.released.push_back(slot);
  }
  for (const uint32_t slot : book.job.released)
    book.serving[slot] = false;
}

void BuildNewTable(ClaimRegistry& book,
                   const OwnershipContext& view,
                   const ClaimLimits& limits,
                   Millis now) {
  SlotTable table = book.table;
  for (const uint32_t slot : book.job.wanted) {
    SlotEntry& entry = table.slots[slot];
    if (!IsNone(entry.owner) && !IsOwn(book, entry.owner))
      AddFormer(entry, entry.owner,
                NewestIn(book, book.job.claims[entry.owner], slot));
    entry.owner = book.journal;
  }
  for (const uint32_t slot : book.job.released) {
    AddFormer(table.slots[slot], book.journal, book.own_newest[slot]);
    table.slots[slot].owner = JournalRef{};
  }
  TrimFormer(table, now - limits.window - limits.clock_skew);
  book.job.new_table = std::move(table);
  book.job.new_text = Encode(book.job.new_table);
  book.job.unused = UnusedJournals(book, view);
}

bool NeedsRecovery(const ClaimRegistry& book) {
  const bool has_no_table = book.table_revision == 0;
  if (book.table.cluster_id != book.cluster_id ||
      (has_no_table && book.has_peer_of_other_history))
    return true;
  return book.store_restored && book.table.recoveries <= book.recoveries_seen;
}

void PlanRecovery(ClaimRegistry& book, const ClaimLimits& limits, Millis now) {
  SlotTable table = EmptyTable(book);
  // An accepted id is at most one skew ahead of its owner's clock, and that
  // clock at most one skew ahead of this one.
  table.low_watermark =
      std::max(book.table.low_watermark,
               now + limits.clock_skew + limits.clock_skew + Millis{1});
  table.recoveries = std::max(book.table.recoveries, book.recoveries_seen) + 1;
  book.job = OwnershipJob{};
  book.job.is_recovery = true;
  book.job.new_table = std::move(table);
  book.job.new_text = Encode(book.job.new_table);
  book.job.stage = OwnershipStage::kWritingTable;
}

}  // namespace dogwoodfall
