#include "core/claims/ownership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"
#include "core/claims/slot_planning.h"
#include "records/journal_head.h"

namespace dogwoodfall {
namespace {

/** Ends the current job, successful or not, and schedules the next table read.
 */
void EndJob(ClaimRegistry& registry, Millis next_table_read_at) {
  registry.job = OwnershipJob{};
  registry.next_table_read_at = next_table_read_at;
}

/** Applies a table and counts the owners that share the write budget. */
void ApplyTable(ClaimRegistry& registry, SlotTable table, uint64_t revision) {
  std::set<DaemonId> owners;
  for (const SlotEntry& slot : table.slots) {
    if (!IsNone(slot.owner))
      owners.insert(slot.owner.daemon.id);
  }
  registry.owner_count =
      std::max<uint32_t>(static_cast<uint32_t>(owners.size()), 1);
  registry.table = std::move(table);
  registry.table_revision = revision;
}

/** Returns the pause before the next attempt. It differs by daemon and time so
 * that daemons that raced each other do not collide again.
 */
Millis RetryPause(const ClaimRegistry& registry,
                  const ClaimLimits& limits,
                  Millis now) {
  const uint64_t hash =
      StableHash(registry.self.id.value + std::to_string(now.count));
  const int64_t spread = std::max<int64_t>(limits.retry_after.count, 1);
  return limits.retry_after +
         Millis{static_cast<int64_t>(hash % static_cast<uint64_t>(spread))};
}

StoreTransaction TableTransaction(const ClaimRegistry& registry) {
  StoreTransaction transaction;
  transaction.compares.push_back({kSlotTableKey, registry.table_revision});
  transaction.puts.push_back({kSlotTableKey, registry.job.encoded_new_table});
  for (const JournalRef& journal : registry.job.unused_journals)
    transaction.deletes.push_back(JournalPrefix(journal));
  return transaction;
}

/** Adds the claims of the acquired slots' previous owners to the inherited
 * claims and starts to serve these slots.
 */
void InheritClaims(ClaimRegistry& registry) {
  const std::set<uint32_t> slots_to_acquire(
      registry.job.slots_to_acquire.begin(),
      registry.job.slots_to_acquire.end());
  for (const auto& [journal, claims] : registry.job.claims) {
    for (const Claim& claim : claims) {
      const SubmissionKey key(claim.key);
      if (slots_to_acquire.count(SlotOf(registry, key)) == 0 ||
          journal.daemon == registry.self)
        continue;
      if (registry.inherited.emplace(key, journal.daemon).second)
        registry.inherited_by_id_timestamp.emplace(claim.id_timestamp, key);
    }
  }
  registry.low_watermark =
      std::max({registry.low_watermark, registry.job.low_watermark,
                registry.job.new_table.low_watermark});
  for (const uint32_t slot : registry.job.slots_to_acquire)
    registry.serving[slot] = true;
}

/** Ends the recovery from a store restore, made by this or another daemon. */
void EndRecovery(ClaimRegistry& registry) {
  registry.low_watermark =
      std::max(registry.low_watermark, registry.table.low_watermark);
  registry.store_restored = false;
  registry.recoveries_seen = registry.table.recoveries;
  registry.needs_new_journal = true;
}

/** Applies the new table after it has been written to the store. */
void CommitNewTable(ClaimRegistry& registry,
                    uint64_t revision,
                    const ClaimLimits& limits,
                    Millis now) {
  InheritClaims(registry);
  ApplyTable(registry, registry.job.new_table, revision);
  if (registry.job.is_recovery)
    EndRecovery(registry);
  EndJob(registry, now + limits.table_period);
}

/** Chooses the next stage after a journal was sealed or read. */
void ContinueJob(ClaimRegistry& registry,
                 const OwnershipContext& context,
                 const ClaimLimits& limits,
                 Millis now) {
  if (!registry.job.journals_to_seal.empty()) {
    registry.job.stage = OwnershipStage::kReadingHead;
  } else if (!registry.job.journals_to_read.empty()) {
    registry.job.stage = OwnershipStage::kReadingJournal;
  } else {
    BuildNewTable(registry, context, limits, now);
    registry.job.stage = OwnershipStage::kWritingTable;
  }
}

/** Loads the table from the store. Returns false when it can't be decoded or
 * has another number of slots.
 */
bool LoadTable(ClaimRegistry& registry, const StoreReply& reply, Millis now) {
  SlotTable table = MakeEmptyTable(registry);
  // Without a table, earlier claims may have been lost, so every id up to now
  // counts as too old.
  table.low_watermark = now + Millis{1};
  uint64_t revision = 0;
  if (!reply.items.empty()) {
    Result<SlotTable> decoded = DecodeSlotTable(reply.items.front().value);
    if (!decoded.ok() ||
        decoded.value().slots.size() != registry.serving.size())
      return false;
    table = decoded.Take();
    revision = reply.items.front().mod_revision;
  }
  ApplyTable(registry, std::move(table), revision);
  registry.is_table_known = true;
  for (uint32_t slot = 0; slot < registry.serving.size(); ++slot) {
    if (!IsOwnJournal(registry, registry.table.slots[slot].owner))
      registry.serving[slot] = false;
  }
  return true;
}

void HandleTableReply(ClaimRegistry& registry,
                      const StoreReply& reply,
                      const OwnershipContext& context,
                      const ClaimLimits& limits,
                      Millis now) {
  const bool is_confirming = registry.job.stage == OwnershipStage::kConfirming;
  if (is_confirming && !reply.items.empty() &&
      reply.items.front().value == registry.job.encoded_new_table) {
    CommitNewTable(registry, reply.items.front().mod_revision, limits, now);
    return;
  }
  if (!LoadTable(registry, reply, now)) {
    EndJob(registry, now + limits.table_period);
    return;
  }
  registry.job = OwnershipJob{};
  if (NeedsRecovery(registry)) {
    PlanRecovery(registry, limits, now);
    return;
  }
  if (registry.store_restored) {
    EndRecovery(registry);
    EndJob(registry, Millis{});
    return;
  }
  if (registry.phase == JournalPhase::kOpen && !context.is_releasing_all)
    PlanTakeover(registry, context);
  if (registry.job.slots_to_acquire.empty())
    PlanRelease(registry, context);
  if (registry.job.slots_to_acquire.empty() &&
      registry.job.slots_to_release.empty())
    EndJob(registry, now + limits.table_period);
  else
    ContinueJob(registry, context, limits, now);
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

/** Collects the claims and the low watermark of a journal. */
void CollectJournalClaims(ClaimRegistry& registry, const StoreReply& reply) {
  const JournalRef journal = registry.job.journals_to_read.back();
  registry.job.journals_to_read.pop_back();
  std::vector<Claim>& claims = registry.job.claims[journal];
  for (const StoreItem& item : reply.items) {
    if (item.key == JournalHeadKey(journal)) {
      const Result<JournalHead> head = DecodeJournalHead(item.value);
      if (head.ok())
        registry.job.low_watermark =
            std::max(registry.job.low_watermark, head.value().low_watermark);
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

std::optional<PendingStoreCall> NextOwnershipCall(ClaimRegistry& registry,
                                                  const ClaimLimits& limits,
                                                  Millis now) {
  if (registry.needs_new_journal || registry.cluster_id == 0)
    return std::nullopt;
  OwnershipJob& job = registry.job;
  switch (job.stage) {
    case OwnershipStage::kIdle:
      if (now < registry.next_table_read_at &&
          registry.peer_table_revision <= registry.table_revision)
        return std::nullopt;
      job.stage = OwnershipStage::kReadingTable;
      // A revision reported by a peer triggers only one read.
      registry.peer_table_revision = 0;
      registry.next_table_read_at = now + limits.table_period;
      [[fallthrough]];
    case OwnershipStage::kReadingTable:
    case OwnershipStage::kConfirming:
      return PendingStoreCall{StorePurpose::kOwnership,
                              StoreRead{kSlotTableKey, false}};
    case OwnershipStage::kReadingHead:
      return PendingStoreCall{
          StorePurpose::kOwnership,
          StoreRead{JournalHeadKey(job.journals_to_seal.back()), false}};
    case OwnershipStage::kSealing:
      return PendingStoreCall{
          StorePurpose::kOwnership,
          SealTransaction(job.journals_to_seal.back(), job.head_revision,
                          job.head_low_watermark)};
    case OwnershipStage::kReadingJournal:
      return PendingStoreCall{
          StorePurpose::kOwnership,
          StoreRead{JournalPrefix(job.journals_to_read.back()), true}};
    case OwnershipStage::kWritingTable:
      return PendingStoreCall{StorePurpose::kOwnership,
                              TableTransaction(registry)};
  }
  return std::nullopt;
}

void HandleOwnershipReply(ClaimRegistry& registry,
                          const StoreReply& reply,
                          const OwnershipContext& context,
                          const ClaimLimits& limits,
                          Millis now) {
  OwnershipJob& job = registry.job;
  if (reply.outcome == StoreOutcome::kUnknown &&
      job.stage == OwnershipStage::kWritingTable) {
    job.stage = OwnershipStage::kConfirming;
    return;
  }
  if (reply.outcome != StoreOutcome::kDone) {
    if (job.stage != OwnershipStage::kConfirming)
      EndJob(registry, now + RetryPause(registry, limits, now));
    return;
  }
  switch (job.stage) {
    case OwnershipStage::kIdle:
      return;
    case OwnershipStage::kReadingTable:
    case OwnershipStage::kConfirming:
      HandleTableReply(registry, reply, context, limits, now);
      return;
    case OwnershipStage::kReadingHead: {
      const bool exists = !reply.items.empty();
      const Result<JournalHead> head =
          exists ? DecodeJournalHead(reply.items.front().value)
                 : Result<JournalHead>(JournalHead{});
      if (head.ok() && head.value().sealed) {
        job.journals_to_seal.pop_back();
        ContinueJob(registry, context, limits, now);
        return;
      }
      job.head_revision = exists ? reply.items.front().mod_revision : 0;
      job.head_low_watermark =
          head.ok() ? head.value().low_watermark : Millis{};
      job.stage = OwnershipStage::kSealing;
      return;
    }
    case OwnershipStage::kSealing:
      job.journals_to_seal.pop_back();
      ContinueJob(registry, context, limits, now);
      return;
    case OwnershipStage::kReadingJournal:
      CollectJournalClaims(registry, reply);
      ContinueJob(registry, context, limits, now);
      return;
    case OwnershipStage::kWritingTable:
      CommitNewTable(registry, reply.revision, limits, now);
      return;
  }
}

}  // namespace dogwoodfall
