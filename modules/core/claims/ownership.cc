#include "core/claims/ownership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"
#include "core/claims/slot_planning.h"
#include "records/journal_head.h"

namespace dogwoodfall {
namespace {

/** Ends the current table update, successful or not, and schedules the next
 * table read.
 */
void EndTableUpdate(ClaimRegistry& registry, Millis next_table_read_at) {
  registry.table_update = SlotTableUpdate{};
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

StoreTransaction MakeTableTransaction(const ClaimRegistry& registry) {
  StoreTransaction transaction;
  transaction.compares.push_back({kSlotTableKey, registry.table_revision});
  transaction.puts.push_back(
      {kSlotTableKey, registry.table_update.encoded_new_table});
  for (const JournalRef& journal : registry.table_update.unused_journals)
    transaction.deletes.push_back(JournalPrefix(journal));
  return transaction;
}

/** Adds the claims of the acquired slots' previous owners to the inherited
 * claims and starts to serve these slots.
 */
void InheritClaims(ClaimRegistry& registry) {
  const std::set<uint32_t> slots_to_acquire(
      registry.table_update.slots_to_acquire.begin(),
      registry.table_update.slots_to_acquire.end());
  for (const auto& [journal, claims] : registry.table_update.claims) {
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
      std::max({registry.low_watermark, registry.table_update.low_watermark,
                registry.table_update.new_table.low_watermark});
  for (const uint32_t slot : registry.table_update.slots_to_acquire)
    registry.serving[slot] = true;
}

/** Ends the recovery from a store restore, made by this or another daemon. */
void EndRecovery(ClaimRegistry& registry) {
  registry.low_watermark =
      std::max(registry.low_watermark, registry.table.low_watermark);
  registry.is_store_restored = false;
  registry.recoveries_seen = registry.table.recoveries;
  registry.needs_new_journal = true;
}

/** Applies the new table after it has been written to the store. */
void CommitNewTable(ClaimRegistry& registry,
                    uint64_t revision,
                    const ClaimLimits& limits,
                    Millis now) {
  InheritClaims(registry);
  ApplyTable(registry, registry.table_update.new_table, revision);
  if (registry.table_update.is_recovery)
    EndRecovery(registry);
  EndTableUpdate(registry, now + limits.table_period);
}

/** Chooses the next stage after a journal was sealed or read. */
void ContinueTableUpdate(ClaimRegistry& registry,
                         const OwnershipContext& context,
                         const ClaimLimits& limits,
                         Millis now) {
  if (!registry.table_update.journals_to_seal.empty()) {
    registry.table_update.stage = SlotTableUpdateStage::kReadingHead;
  } else if (!registry.table_update.journals_to_read.empty()) {
    registry.table_update.stage = SlotTableUpdateStage::kReadingJournal;
  } else {
    BuildNewTable(registry, context, limits, now);
    registry.table_update.stage = SlotTableUpdateStage::kWritingTable;
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
  const bool is_confirming =
      registry.table_update.stage == SlotTableUpdateStage::kConfirming;
  if (is_confirming && !reply.items.empty() &&
      reply.items.front().value == registry.table_update.encoded_new_table) {
    CommitNewTable(registry, reply.items.front().mod_revision, limits, now);
    return;
  }
  if (!LoadTable(registry, reply, now)) {
    EndTableUpdate(registry, now + limits.table_period);
    return;
  }
  registry.table_update = SlotTableUpdate{};
  if (NeedsRecovery(registry)) {
    PlanRecovery(registry, limits, now);
    return;
  }
  if (registry.is_store_restored) {
    EndRecovery(registry);
    EndTableUpdate(registry, Millis{});
    return;
  }
  if (registry.phase == JournalPhase::kOpen && !context.is_releasing_all)
    PlanAcquisition(registry, context);
  if (registry.table_update.slots_to_acquire.empty())
    PlanRelease(registry, context);
  if (registry.table_update.slots_to_acquire.empty() &&
      registry.table_update.slots_to_release.empty())
    EndTableUpdate(registry, now + limits.table_period);
  else
    ContinueTableUpdate(registry, context, limits, now);
}

StoreTransaction MakeSealTransaction(const JournalRef& journal,
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
  const JournalRef journal = registry.table_update.journals_to_read.back();
  registry.table_update.journals_to_read.pop_back();
  std::vector<Claim>& claims = registry.table_update.claims[journal];
  for (const StoreItem& item : reply.items) {
    if (item.key == JournalHeadKey(journal)) {
      const Result<JournalHead> head = DecodeJournalHead(item.value);
      if (head.ok())
        registry.table_update.low_watermark = std::max(
            registry.table_update.low_watermark, head.value().low_watermark);
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

std::optional<StoreCallRequest> NextOwnershipCall(ClaimRegistry& registry,
                                                  const ClaimLimits& limits,
                                                  Millis now) {
  if (registry.needs_new_journal || registry.cluster_id == 0)
    return std::nullopt;
  SlotTableUpdate& update = registry.table_update;
  switch (update.stage) {
    case SlotTableUpdateStage::kIdle:
      if (now < registry.next_table_read_at &&
          registry.peer_table_revision <= registry.table_revision)
        return std::nullopt;
      update.stage = SlotTableUpdateStage::kReadingTable;
      // A revision reported by a peer triggers only one read.
      registry.peer_table_revision = 0;
      registry.next_table_read_at = now + limits.table_period;
      [[fallthrough]];
    case SlotTableUpdateStage::kReadingTable:
    case SlotTableUpdateStage::kConfirming:
      return StoreCallRequest{StorePurpose::kOwnership,
                              StoreRead{kSlotTableKey, false}};
    case SlotTableUpdateStage::kReadingHead:
      return StoreCallRequest{
          StorePurpose::kOwnership,
          StoreRead{JournalHeadKey(update.journals_to_seal.back()), false}};
    case SlotTableUpdateStage::kSealing:
      return StoreCallRequest{
          StorePurpose::kOwnership,
          MakeSealTransaction(update.journals_to_seal.back(),
                              update.head_revision, update.head_low_watermark)};
    case SlotTableUpdateStage::kReadingJournal:
      return StoreCallRequest{
          StorePurpose::kOwnership,
          StoreRead{JournalPrefix(update.journals_to_read.back()), true}};
    case SlotTableUpdateStage::kWritingTable:
      return StoreCallRequest{StorePurpose::kOwnership,
                              MakeTableTransaction(registry)};
  }
  return std::nullopt;
}

void HandleOwnershipReply(ClaimRegistry& registry,
                          const StoreReply& reply,
                          const OwnershipContext& context,
                          const ClaimLimits& limits,
                          Millis now) {
  SlotTableUpdate& update = registry.table_update;
  if (reply.outcome == StoreOutcome::kUnknown &&
      update.stage == SlotTableUpdateStage::kWritingTable) {
    update.stage = SlotTableUpdateStage::kConfirming;
    return;
  }
  if (reply.outcome != StoreOutcome::kDone) {
    if (update.stage != SlotTableUpdateStage::kConfirming)
      EndTableUpdate(registry, now + RetryPause(registry, limits, now));
    return;
  }
  switch (update.stage) {
    case SlotTableUpdateStage::kIdle:
      return;
    case SlotTableUpdateStage::kReadingTable:
    case SlotTableUpdateStage::kConfirming:
      HandleTableReply(registry, reply, context, limits, now);
      return;
    case SlotTableUpdateStage::kReadingHead: {
      const bool has_head = !reply.items.empty();
      const Result<JournalHead> head =
          has_head ? DecodeJournalHead(reply.items.front().value)
                   : Result<JournalHead>(JournalHead{});
      if (head.ok() && head.value().sealed) {
        update.journals_to_seal.pop_back();
        ContinueTableUpdate(registry, context, limits, now);
        return;
      }
      update.head_revision = has_head ? reply.items.front().mod_revision : 0;
      update.head_low_watermark =
          head.ok() ? head.value().low_watermark : Millis{};
      update.stage = SlotTableUpdateStage::kSealing;
      return;
    }
    case SlotTableUpdateStage::kSealing:
      update.journals_to_seal.pop_back();
      ContinueTableUpdate(registry, context, limits, now);
      return;
    case SlotTableUpdateStage::kReadingJournal:
      CollectJournalClaims(registry, reply);
      ContinueTableUpdate(registry, context, limits, now);
      return;
    case SlotTableUpdateStage::kWritingTable:
      CommitNewTable(registry, reply.revision, limits, now);
      return;
  }
}

}  // namespace dogwoodfall
