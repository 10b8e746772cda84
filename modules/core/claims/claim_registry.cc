#include "core/claims/claim_registry.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>

#include "base/hash.h"
#include "records/journal_head.h"

namespace dogwoodfall {
namespace {

StoreTransaction MakeOpenTransaction(const ClaimRegistry& registry) {
  StoreTransaction transaction;
  const std::string key = JournalHeadKey(registry.journal);
  transaction.compares.push_back({key, 0});
  transaction.puts.push_back(
      {key, Encode(JournalHead{false, registry.low_watermark})});
  return transaction;
}

StoreTransaction MakeAppendTransaction(const ClaimRegistry& registry) {
  StoreTransaction transaction;
  const std::string key =
      JournalSegmentKey(registry.journal, registry.next_segment);
  transaction.compares.push_back(
      {JournalHeadKey(registry.journal), registry.head_revision});
  transaction.compares.push_back({key, 0});
  transaction.puts.push_back({key, Encode(JournalSegment{registry.in_flight})});
  return transaction;
}

/** Returns the own segments in which every id timestamp is lower than
 * oldest_kept.
 */
std::vector<uint64_t> FindExpiredSegments(const ClaimRegistry& registry,
                                          Millis oldest_kept) {
  std::vector<uint64_t> expired;
  for (const auto& [number, max_id_timestamp] : registry.segments) {
    if (max_id_timestamp < oldest_kept)
      expired.push_back(number);
  }
  return expired;
}

/** Makes the transaction that deletes expired segments, and raises the low
 * watermark above the ids claimed in them.
 */
StoreTransaction MakePurgeTransaction(ClaimRegistry& registry,
                                      const std::vector<uint64_t>& expired) {
  StoreTransaction transaction;
  const std::string head = JournalHeadKey(registry.journal);
  for (const uint64_t number : expired) {
    registry.low_watermark = std::max(registry.low_watermark,
                                      registry.segments.at(number) + Millis{1});
    transaction.deletes.push_back(JournalSegmentKey(registry.journal, number));
  }
  transaction.compares.push_back({head, registry.head_revision});
  transaction.puts.push_back(
      {head, Encode(JournalHead{false, registry.low_watermark})});
  return transaction;
}

/** Records that the claims in flight were written to the store. */
void FinishAppend(ClaimRegistry& registry, ClaimResults& results) {
  Millis max_id_timestamp;
  for (const Claim& claim : registry.in_flight) {
    const SubmissionKey key(claim.key);
    max_id_timestamp = std::max(max_id_timestamp, claim.id_timestamp);
    Millis& slot_max_id_timestamp =
        registry.own_max_id_timestamps[SlotOf(registry, key)];
    slot_max_id_timestamp = std::max(slot_max_id_timestamp, claim.id_timestamp);
    results.claimed.push_back(key);
  }
  registry.segments[registry.next_segment] = max_id_timestamp;
  ++registry.next_segment;
  registry.in_flight.clear();
}

const StoreItem* FindItem(const StoreReply& reply, const std::string& key) {
  for (const StoreItem& item : reply.items) {
    if (item.key == key)
      return &item;
  }
  return nullptr;
}

/** Rebuilds the maximum id timestamps of the own segments from the store. */
void LoadSegments(ClaimRegistry& registry, const StoreReply& reply) {
  registry.segments.clear();
  for (uint64_t number = 1; number < registry.next_segment; ++number) {
    const StoreItem* item =
        FindItem(reply, JournalSegmentKey(registry.journal, number));
    if (item == nullptr)
      continue;
    const Result<JournalSegment> segment = DecodeJournalSegment(item->value);
    Millis max_id_timestamp;
    if (segment.ok()) {
      for (const Claim& claim : segment.value().claims)
        max_id_timestamp = std::max(max_id_timestamp, claim.id_timestamp);
    }
    registry.segments[number] = max_id_timestamp;
  }
}

/** Restores the journal state after a failed call, from a read of the whole
 * journal. The journal is abandoned when its head is missing or sealed.
 */
void ApplyReadBack(ClaimRegistry& registry,
                   const StoreReply& reply,
                   ClaimResults& results) {
  const StoreItem* head = FindItem(reply, JournalHeadKey(registry.journal));
  const bool is_written =
      FindItem(reply, JournalSegmentKey(registry.journal,
                                        registry.next_segment)) != nullptr;
  if (is_written && !registry.in_flight.empty())
    FinishAppend(registry, results);
  const Result<JournalHead> decoded = head == nullptr
                                          ? Result<JournalHead>(Error{})
                                          : DecodeJournalHead(head->value);
  if (!decoded.ok() || decoded.value().sealed) {
    results.undecided = AbandonJournal(registry);
    return;
  }
  LoadSegments(registry, reply);
  registry.head_revision = head->mod_revision;
  registry.phase = JournalPhase::kOpen;
}

bool MayCallStore(const ClaimRegistry& registry, Millis now) {
  return registry.call == JournalCall::kNone && now >= registry.retry_at &&
         !registry.is_store_restored && registry.cluster_id != 0;
}

/** Returns the pause between appends that keeps the writes of all owners
 * together within writes_per_second.
 */
Millis ComputeAppendPause(const ClaimRegistry& registry,
                          const ClaimLimits& limits) {
  constexpr int64_t kMillisPerSecond = 1000;
  return {kMillisPerSecond * std::max(registry.owner_count, 1U) /
          std::max(limits.writes_per_second, 1U)};
}

StoreCallRequest BeginReadBack(ClaimRegistry& registry) {
  registry.call = JournalCall::kReadBack;
  return {StorePurpose::kClaim,
          StoreRead{JournalPrefix(registry.journal), true}};
}

/** Returns the call that appends the claims in flight. Takes the next batch of
 * waiting claims when none is in flight.
 */
StoreCallRequest BeginAppend(ClaimRegistry& registry,
                             const ClaimLimits& limits) {
  if (registry.in_flight.empty()) {
    const size_t count =
        std::min(limits.max_claims_per_append, registry.waiting.size());
    const auto end = registry.waiting.begin() + static_cast<ptrdiff_t>(count);
    registry.in_flight.assign(registry.waiting.begin(), end);
    registry.waiting.erase(registry.waiting.begin(), end);
  }
  registry.call = JournalCall::kAppend;
  return {StorePurpose::kClaim, MakeAppendTransaction(registry)};
}

}  // namespace

ClaimRegistry CreateClaimRegistry(const DaemonRef& self,
                                  const ClaimLimits& limits) {
  ClaimRegistry registry;
  registry.self = self;
  registry.journal = {self, 1};
  registry.serving.assign(limits.slots, false);
  registry.own_max_id_timestamps.assign(limits.slots, Millis{});
  return registry;
}

uint32_t SlotOf(const ClaimRegistry& registry, const SubmissionKey& key) {
  return static_cast<uint32_t>(StableHash(key.value) % registry.serving.size());
}

ClaimLookup LookUpClaim(const ClaimRegistry& registry,
                        const SubmissionKey& key,
                        Millis id_timestamp) {
  const uint32_t slot = SlotOf(registry, key);
  if (registry.serving[slot]) {
    const auto inherited_claim = registry.inherited.find(key);
    if (inherited_claim != registry.inherited.end())
      return {ClaimStatus::kClaimedByPreviousOwner, inherited_claim->second};
    if (id_timestamp < registry.low_watermark)
      return {ClaimStatus::kTooOld, {}};
    return {ClaimStatus::kUnclaimed, registry.self};
  }
  if (!registry.is_table_known || slot >= registry.table.slots.size())
    return {ClaimStatus::kUndecided, {}};
  const JournalRef& owner = registry.table.slots[slot].owner;
  if (IsNone(owner) || owner.daemon == registry.self)
    return {ClaimStatus::kUndecided, {}};
  return {ClaimStatus::kOwnedElsewhere, owner.daemon};
}

bool QueueClaim(ClaimRegistry& registry,
                const SubmissionKey& key,
                Millis id_timestamp,
                const ClaimLimits& limits) {
  if (registry.phase != JournalPhase::kOpen || registry.is_store_restored ||
      registry.waiting.size() >= limits.max_waiting_claims)
    return false;
  registry.waiting.push_back({key.value, id_timestamp});
  return true;
}

std::optional<StoreCallRequest> NextJournalCall(ClaimRegistry& registry,
                                                const ClaimLimits& limits,
                                                Millis now) {
  if (!MayCallStore(registry, now))
    return std::nullopt;
  if (registry.phase == JournalPhase::kClosed) {
    registry.call = JournalCall::kOpen;
    registry.phase = JournalPhase::kOpening;
    return StoreCallRequest{StorePurpose::kClaim,
                            MakeOpenTransaction(registry)};
  }
  if (registry.phase == JournalPhase::kOpening)
    return BeginReadBack(registry);
  if (!registry.in_flight.empty() || !registry.waiting.empty()) {
    if (now < registry.next_append_at)
      return std::nullopt;
    registry.next_append_at = now + ComputeAppendPause(registry, limits);
    return BeginAppend(registry, limits);
  }
  const std::vector<uint64_t> expired =
      FindExpiredSegments(registry, now - limits.window - limits.clock_skew);
  if (expired.empty())
    return std::nullopt;
  registry.call = JournalCall::kPurge;
  const StoreTransaction purge = MakePurgeTransaction(registry, expired);
  for (const uint64_t number : expired)
    registry.segments.erase(number);
  return StoreCallRequest{StorePurpose::kClaim, purge};
}

ClaimResults HandleJournalReply(ClaimRegistry& registry,
                                const StoreReply& reply,
                                const ClaimLimits& limits,
                                Millis now) {
  ClaimResults results;
  const JournalCall call = registry.call;
  registry.call = JournalCall::kNone;
  if (reply.outcome == StoreOutcome::kUnknown) {
    registry.retry_at = now + limits.retry_after;
    // The purge may have changed the head's revision, so the journal is read
    // back before the next append.
    if (call == JournalCall::kPurge)
      registry.phase = JournalPhase::kOpening;
    return results;
  }
  if (call == JournalCall::kReadBack) {
    // Without a journal in the store, the open call had no effect and is made
    // again. If claims may have been written before, ApplyReadBack() abandons
    // the missing journal.
    if (reply.items.empty() && registry.in_flight.empty() &&
        registry.segments.empty())
      registry.phase = JournalPhase::kClosed;
    else
      ApplyReadBack(registry, reply, results);
    return results;
  }
  // The journal was sealed, or an earlier attempt of this call took effect. The
  // read-back shows which.
  if (reply.outcome == StoreOutcome::kCompareFailed) {
    registry.phase = JournalPhase::kOpening;
    return results;
  }
  if (call == JournalCall::kOpen || call == JournalCall::kPurge) {
    registry.head_revision = reply.revision;
    registry.phase = JournalPhase::kOpen;
  }
  // Slots can be acquired only while the journal is open, so the table is read
  // now.
  if (call == JournalCall::kOpen)
    registry.next_table_read_at = Millis{};
  if (call == JournalCall::kAppend)
    FinishAppend(registry, results);
  return results;
}

bool UpdateStoreRevision(ClaimRegistry& registry,
                         const StoreReply& reply,
                         uint64_t known_at_call) {
  if (reply.outcome == StoreOutcome::kUnknown)
    return true;
  const bool is_first = registry.cluster_id == 0;
  const bool has_same_history =
      is_first || reply.cluster_id == registry.cluster_id;
  registry.cluster_id = reply.cluster_id;
  if (has_same_history && reply.revision >= known_at_call) {
    registry.store_revision = std::max(registry.store_revision, reply.revision);
    return true;
  }
  if (!registry.is_store_restored) {
    ++registry.restores;
    registry.recoveries_seen = registry.table.recoveries;
  }
  registry.is_store_restored = true;
  registry.store_revision = reply.revision;
  registry.next_table_read_at = Millis{};
  return false;
}

void RecordPeerRevision(ClaimRegistry& registry,
                        uint64_t revision,
                        uint64_t cluster_id) {
  if (cluster_id == registry.cluster_id)
    registry.store_revision = std::max(registry.store_revision, revision);
  else if (cluster_id != 0 && registry.cluster_id != 0)
    registry.has_peer_with_other_history = true;
}

std::vector<SubmissionKey> AbandonJournal(ClaimRegistry& registry) {
  std::vector<SubmissionKey> undecided;
  for (const std::vector<Claim>* claims :
       {&registry.in_flight, &registry.waiting}) {
    for (const Claim& claim : *claims)
      undecided.push_back(SubmissionKey(claim.key));
  }
  registry.in_flight.clear();
  registry.waiting.clear();
  registry.segments.clear();
  registry.phase = JournalPhase::kClosed;
  registry.serving.assign(registry.serving.size(), false);
  registry.own_max_id_timestamps.assign(registry.own_max_id_timestamps.size(),
                                        Millis{});
  ++registry.journal.generation;
  registry.next_segment = 1;
  registry.next_table_read_at = Millis{};
  return undecided;
}

void ForgetExpiredClaims(ClaimRegistry& registry,
                         const ClaimLimits& limits,
                         Millis now) {
  const Millis oldest_kept = now - limits.window - limits.clock_skew;
  while (!registry.inherited_by_id_timestamp.empty() &&
         registry.inherited_by_id_timestamp.begin()->first < oldest_kept) {
    const auto [id_timestamp, key] =
        *registry.inherited_by_id_timestamp.begin();
    registry.low_watermark =
        std::max(registry.low_watermark, id_timestamp + Millis{1});
    registry.inherited.erase(key);
    registry.inherited_by_id_timestamp.erase(
        registry.inherited_by_id_timestamp.begin());
  }
}

bool HasNoOpenClaims(const ClaimRegistry& registry) {
  return registry.waiting.empty() && registry.in_flight.empty() &&
         registry.call == JournalCall::kNone;
}

}  // namespace dogwoodfall
