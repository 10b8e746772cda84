#include "core/claims/ownership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"
#include "core/claims/slot_planning.h"
#include "records/journal_head.h"

namespace dogwoodfall {
namespace {

/** Ends the job, whether or not it succeeded. */
void EndJob(ClaimRegistry& book, Millis next_read) {
  book.job = OwnershipJob{};
  book.next_table_read = next_read;
}

/** Takes over a table, and how many owners share the claim writes. */
void SetTable(ClaimRegistry& book, SlotTable table, uint64_t revision) {
  std::set<DaemonId> owners;
  for (const SlotEntry& slot : table.slots) {
    if (!IsNone(slot.owner))
      owners.insert(slot.owner.daemon.id);
  }
  book.owner_count =
      std::max<uint32_t>(static_cast<uint32_t>(owners.size()), 1);
  book.table = std::move(table);
  book.table_revision = revision;
}

/** Pause before the next try, different for each daemon and time, so that
 * daemons that raced each other don't do so again.
 */
Millis RetryPause(const ClaimRegistry& book,
                  const ClaimLimits& limits,
                  Millis now) {
  const uint64_t hash =
      StableHash(book.self.id.value + std::to_string(now.count));
  const int64_t spread = std::max<int64_t>(limits.retry_after.count, 1);
  return limits.retry_after +
         Millis{static_cast<int64_t>(hash % static_cast<uint64_t>(spread))};
}

StoreTransaction TableTransaction(const ClaimRegistry& book) {
  StoreTransaction transaction;
  transaction.compares.push_back({kSlotTableKey, book.table_revision});
  transaction.puts.push_back({kSlotTableKey, book.job.new_text});
  for (const JournalRef& journal : book.job.unused)
    transaction.deletes.push_back(JournalPrefix(journal));
  return transaction;
}

/** Adds the claims of a slot's former owners to the inherited ones. */
void Inherit(ClaimRegistry& book) {
  const std::set<uint32_t> wanted(book.job.wanted.begin(),
                                  book.job.wanted.end());
  for (const auto& [journal, claims] : book.job.claims) {
    for (const Claim& claim : claims) {
      const SubmissionKey key(claim.key);
      if (wanted.count(SlotOf(book, key)) == 0 || journal.daemon == book.self)
        continue;
      if (book.inherited.emplace(key, journal.daemon).second)
        book.inherited_by_id_timestamp.emplace(claim.id_timestamp, key);
    }
  }
  book.low_watermark = std::max({book.low_watermark, book.job.low_watermark,
                                 book.job.new_table.low_watermark});
  for (const uint32_t slot : book.job.wanted)
    book.serving[slot] = true;
}

/** The store was recovered from a restore, here or elsewhere. */
void EndRecovery(ClaimRegistry& book) {
  book.low_watermark = std::max(book.low_watermark, book.table.low_watermark);
  book.store_restored = false;
  book.recoveries_seen = book.table.recoveries;
  book.needs_new_journal = true;
}

void AdoptNewTable(ClaimRegistry& book,
                   uint64_t revision,
                   const ClaimLimits& limits,
                   Millis now) {
  Inherit(book);
  SetTable(book, book.job.new_table, revision);
  if (book.job.is_recovery)
    EndRecovery(book);
  EndJob(book, now + limits.table_period);
}

/** Chooses the step after a journal was sealed or read. */
void ContinueJob(ClaimRegistry& book,
                 const OwnershipContext& view,
                 const ClaimLimits& limits,
                 Millis now) {
  if (!book.job.to_seal.empty()) {
    book.job.stage = OwnershipStage::kReadingHead;
  } else if (!book.job.to_read.empty()) {
    book.job.stage = OwnershipStage::kReadingJournal;
  } else {
    BuildNewTable(book, view, limits, now);
    book.job.stage = OwnershipStage::kWritingTable;
  }
}

/** Takes over the table as it stands in the store. */
bool LoadTable(ClaimRegistry& book, const StoreReply& reply, Millis now) {
  SlotTable table = EmptyTable(book);
  // Where there is no table, claims of the past may have been wiped out.
  table.low_watermark = now + Millis{1};
  uint64_t revision = 0;
  if (!reply.items.empty()) {
    Result<SlotTable> decoded = DecodeSlotTable(reply.items.front().value);
    if (!decoded.ok() || decoded.value().slots.size() != book.serving.size())
      return false;
    table = decoded.Take();
    revision = reply.items.front().mod_revision;
  }
  SetTable(book, std::move(table), revision);
  book.table_known = true;
  for (uint32_t slot = 0; slot < book.serving.size(); ++slot) {
    if (!IsOwn(book, book.table.slots[slot].owner))
      book.serving[slot] = false;
  }
  return true;
}

void TakeTable(ClaimRegistry& book,
               const StoreReply& reply,
               const OwnershipContext& view,
               const ClaimLimits& limits,
               Millis now) {
  const bool confirming = book.job.stage == OwnershipStage::kConfirming;
  if (confirming && !reply.items.empty() &&
      reply.items.front().value == book.job.new_text) {
    AdoptNewTable(book, reply.items.front().mod_revision, limits, now);
    return;
  }
  if (!LoadTable(book, reply, now)) {
    EndJob(book, now + limits.table_period);
    return;
  }
  book.job = OwnershipJob{};
  if (NeedsRecovery(book)) {
    PlanRecovery(book, limits, now);
    return;
  }
  if (book.store_restored) {
    EndRecovery(book);
    EndJob(book, Millis{});
    return;
  }
  if (book.phase == JournalPhase::kOpen && !view.is_releasing_all)
    PlanTakeover(book, view);
  if (book.job.wanted.empty())
    PlanRelease(book, view);
  if (book.job.wanted.empty() && book.job.released.empty())
    EndJob(book, now + limits.table_period);
  else
    ContinueJob(book, view, limits, now);
}

StoreTransaction SealTransaction(const JournalRef& journal,
                                 uint64_t head_revision,
                                 Millis low_watermark) {
  StoreTransaction transaction;
  const std::string key = JournalHeadKey(journal);
  transaction.compares.push_back({key, head_revision});
  transaction.puts.push_back({key, Encode(JournalHead{true, low_watermark})});
  return transaction;
}

/** Reads claims and floor out of a whole journal. */
void TakeJournal(ClaimRegistry& book, const StoreReply& reply) {
  const JournalRef journal = book.job.to_read.back();
  book.job.to_read.pop_back();
  std::vector<Claim>& claims = book.job.claims[journal];
  for (const StoreItem& item : reply.items) {
    if (item.key == JournalHeadKey(journal)) {
      const Result<JournalHead> head = DecodeJournalHead(item.value);
      if (head.ok())
        book.job.low_watermark =
            std::max(book.job.low_watermark, head.value().low_watermark);
      continue;
    }
    const Result<JournalSegment> segment = DecodeJournalSegment(item.value);
    if (segment.ok()) {
      claims.insert(claims.end(), segment.value().claims.begin(),
                    segment.value().claims.end());
    }
  }
}

}  // namespace

std::optional<PendingStoreCall> NextOwnershipCall(ClaimRegistry& book,
                                                  const ClaimLimits& limits,
                                                  Millis now) {
  if (book.needs_new_journal || book.cluster_id == 0)
    return std::nullopt;
  OwnershipJob& job = book.job;
  switch (job.stage) {
    case OwnershipStage::kIdle:
      if (now < book.next_table_read &&
          book.peer_table_revision <= book.table_revision)
        return std::nullopt;
      job.stage = OwnershipStage::kReadingTable;
      // One read is due for each revision that was heard of.
      book.peer_table_revision = 0;
      book.next_table_read = now + limits.table_period;
      [[fallthrough]];
    case OwnershipStage::kReadingTable:
    case OwnershipStage::kConfirming:
      return PendingStoreCall{StorePurpose::kOwnership,
                              StoreRead{kSlotTableKey, false}};
    case OwnershipStage::kReadingHead:
      return PendingStoreCall{
          StorePurpose::kOwnership,
          StoreRead{JournalHeadKey(job.to_seal.back()), false}};
    case OwnershipStage::kSealing:
      return PendingStoreCall{
          StorePurpose::kOwnership,
          SealTransaction(job.to_seal.back(), job.head_revision,
                          job.head_floor)};
    case OwnershipStage::kReadingJournal:
      return PendingStoreCall{
          StorePurpose::kOwnership,
          StoreRead{JournalPrefix(job.to_read.back()), true}};
    case OwnershipStage::kWritingTable:
      return PendingStoreCall{StorePurpose::kOwnership, TableTransaction(book)};
  }
  return std::nullopt;
}

void HandleOwnershipReply(ClaimRegistry& book,
                          const StoreReply& reply,
                          const OwnershipContext& view,
                          const ClaimLimits& limits,
                          Millis now) {
  OwnershipJob& job = book.job;
  if (reply.outcome == StoreOutcome::kUnknown &&
      job.stage == OwnershipStage::kWritingTable) {
    job.stage = OwnershipStage::kConfirming;
    return;
  }
  if (reply.outcome != StoreOutcome::kDone) {
    if (job.stage != OwnershipStage::kConfirming)
      EndJob(book, now + RetryPause(book, limits, now));
    return;
  }
  switch (job.stage) {
    case OwnershipStage::kIdle:
      return;
    case OwnershipStage::kReadingTable:
    case OwnershipStage::kConfirming:
      TakeTable(book, reply, view, limits, now);
      return;
    case OwnershipStage::kReadingHead: {
      const bool exists = !reply.items.empty();
      const Result<JournalHead> head =
          exists ? DecodeJournalHead(reply.items.front().value)
                 : Result<JournalHead>(JournalHead{});
      if (head.ok() && head.value().sealed) {
        job.to_seal.pop_back();
        ContinueJob(book, view, limits, now);
        return;
      }
      job.head_revision = exists ? reply.items.front().mod_revision : 0;
      job.head_floor = head.ok() ? head.value().low_watermark : Millis{};
      job.stage = OwnershipStage::kSealing;
      return;
    }
    case OwnershipStage::kSealing:
      job.to_seal.pop_back();
      ContinueJob(book, view, limits, now);
      return;
    case OwnershipStage::kReadingJournal:
      TakeJournal(book, reply);
      ContinueJob(book, view, limits, now);
      return;
    case OwnershipStage::kWritingTable:
      AdoptNewTable(book, reply.revision, limits, now);
      return;
  }
}

}  // namespace dogwoodfall
