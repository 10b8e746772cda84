#include "core/claims/slot_planning.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dogwoodfall {
namespace {

/** Returns true when no daemon serves the owner's slots any more. */
bool IsFree(const ClaimRegistry& registry,
            const JournalRef& owner,
            const OwnershipContext& context) {
  if (IsNone(owner))
    return true;
  // An earlier journal of this daemon was sealed or abandoned.
  if (owner.daemon == registry.self)
    return !IsOwnJournal(registry, owner);
  return context.is_gone(owner.daemon);
}

Millis MaxIdTimestampIn(const ClaimRegistry& registry,
                        const std::vector<Claim>& claims,
                        uint32_t slot) {
  Millis max_id_timestamp;
  for (const Claim& claim : claims) {
    if (SlotOf(registry, SubmissionKey(claim.key)) == slot)
      max_id_timestamp = std::max(max_id_timestamp, claim.id_timestamp);
  }
  return max_id_timestamp;
}

void AddPreviousOwner(SlotEntry& entry,
                      const JournalRef& journal,
                      Millis max_id_timestamp) {
  for (PreviousOwner& previous : entry.previous_owners) {
    if (previous.journal == journal) {
      previous.max_id_timestamp =
          std::max(previous.max_id_timestamp, max_id_timestamp);
      return;
    }
  }
  entry.previous_owners.push_back({journal, max_id_timestamp});
}

/** Removes previous owners whose claims of the slot are all older than
 * oldest_kept, and raises the table's low watermark accordingly.
 */
void RemoveExpiredPreviousOwners(SlotTable& table, Millis oldest_kept) {
  for (SlotEntry& entry : table.slots) {
    for (const PreviousOwner& previous : entry.previous_owners) {
      if (previous.max_id_timestamp < oldest_kept)
        table.low_watermark = std::max(table.low_watermark,
                                       previous.max_id_timestamp + Millis{1});
    }
    entry.previous_owners.erase(
        std::remove_if(entry.previous_owners.begin(),
                       entry.previous_owners.end(),
                       [oldest_kept](const PreviousOwner& previous) {
                         return previous.max_id_timestamp < oldest_kept;
                       }),
        entry.previous_owners.end());
  }
}

std::set<JournalRef> JournalsOf(const SlotTable& table) {
  std::set<JournalRef> journals;
  for (const SlotEntry& entry : table.slots) {
    if (!IsNone(entry.owner))
      journals.insert(entry.owner);
    for (const PreviousOwner& previous : entry.previous_owners)
      journals.insert(previous.journal);
  }
  return journals;
}

/** Returns the journals that no slot refers to and whose owner is gone. */
std::vector<JournalRef> UnusedJournals(const ClaimRegistry& registry,
                                       const OwnershipContext& context) {
  std::vector<JournalRef> unused_journals;
  const std::set<JournalRef> kept = JournalsOf(registry.table_update.new_table);
  for (const JournalRef& journal : JournalsOf(registry.table)) {
    if (kept.count(journal) == 0 && context.is_gone(journal.daemon))
      unused_journals.push_back(journal);
  }
  return unused_journals;
}

}  // namespace

SlotTable MakeEmptyTable(const ClaimRegistry& registry) {
  SlotTable table;
  table.cluster_id = registry.cluster_id;
  table.slots.resize(registry.serving.size());
  return table;
}

bool IsOwnJournal(const ClaimRegistry& registry, const JournalRef& owner) {
  return owner == registry.journal;
}

void PlanAcquisition(ClaimRegistry& registry, const OwnershipContext& context) {
  std::set<JournalRef> journals_to_seal;
  std::set<JournalRef> journals_to_read;
  for (uint32_t slot = 0; slot < registry.table.slots.size(); ++slot) {
    const SlotEntry& entry = registry.table.slots[slot];
    const bool is_own_but_unserved =
        IsOwnJournal(registry, entry.owner) && !registry.serving[slot];
    if (!is_own_but_unserved &&
        (IsOwnJournal(registry, entry.owner) ||
         !IsFree(registry, entry.owner, context) ||
         context.preferred_owner(slot) != registry.self.id))
      continue;
    registry.table_update.slots_to_acquire.push_back(slot);
    if (!IsNone(entry.owner) && !IsOwnJournal(registry, entry.owner))
      journals_to_seal.insert(entry.owner);
    for (const PreviousOwner& previous : entry.previous_owners)
      journals_to_read.insert(previous.journal);
  }
  journals_to_read.insert(journals_to_seal.begin(), journals_to_seal.end());
  registry.table_update.journals_to_seal.assign(journals_to_seal.begin(),
                                                journals_to_seal.end());
  registry.table_update.journals_to_read.assign(journals_to_read.begin(),
                                                journals_to_read.end());
}

void PlanRelease(ClaimRegistry& registry, const OwnershipContext& context) {
  if (!HasNoOpenClaims(registry))
    return;
  for (uint32_t slot = 0; slot < registry.table.slots.size(); ++slot) {
    if (registry.serving[slot] &&
        (context.is_releasing_all ||
         context.preferred_owner(slot) != registry.self.id))
      registry.table_update.slots_to_release.push_back(slot);
  }
  for (const uint32_t slot : registry.table_update.slots_to_release)
    registry.serving[slot] = false;
}

void BuildNewTable(ClaimRegistry& registry,
                   const OwnershipContext& context,
                   const ClaimLimits& limits,
                   Millis now) {
  SlotTable table = registry.table;
  for (const uint32_t slot : registry.table_update.slots_to_acquire) {
    SlotEntry& entry = table.slots[slot];
    if (!IsNone(entry.owner) && !IsOwnJournal(registry, entry.owner))
      AddPreviousOwner(
          entry, entry.owner,
          MaxIdTimestampIn(registry, registry.table_update.claims[entry.owner],
                           slot));
    entry.owner = registry.journal;
  }
  for (const uint32_t slot : registry.table_update.slots_to_release) {
    AddPreviousOwner(table.slots[slot], registry.journal,
                     registry.own_max_id_timestamps[slot]);
    table.slots[slot].owner = JournalRef{};
  }
  RemoveExpiredPreviousOwners(table, now - limits.window - limits.clock_skew);
  registry.table_update.new_table = std::move(table);
  registry.table_update.encoded_new_table =
      Encode(registry.table_update.new_table);
  registry.table_update.unused_journals = UnusedJournals(registry, context);
}

bool NeedsRecovery(const ClaimRegistry& registry) {
  const bool has_no_table = registry.table_revision == 0;
  if (registry.table.cluster_id != registry.cluster_id ||
      (has_no_table && registry.has_peer_with_other_history))
    return true;
  return registry.is_store_restored &&
         registry.table.recoveries <= registry.recoveries_seen;
}

void PlanRecovery(ClaimRegistry& registry,
                  const ClaimLimits& limits,
                  Millis now) {
  SlotTable table = MakeEmptyTable(registry);
  // The timestamp of an accepted id is at most one skew ahead of its owner's
  // clock, and that clock is at most one skew ahead of this daemon's clock.
  table.low_watermark =
      std::max(registry.table.low_watermark,
               now + limits.clock_skew + limits.clock_skew + Millis{1});
  table.recoveries =
      std::max(registry.table.recoveries, registry.recoveries_seen) + 1;
  registry.table_update = SlotTableUpdate{};
  registry.table_update.is_recovery = true;
  registry.table_update.new_table = std::move(table);
  registry.table_update.encoded_new_table =
      Encode(registry.table_update.new_table);
  registry.table_update.stage = SlotTableUpdateStage::kWritingTable;
}

}  // namespace dogwoodfall
