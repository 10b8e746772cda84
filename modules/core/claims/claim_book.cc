#include "core/claims/claim_book.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>

#include "base/hash.h"
#include "records/journal_head.h"

namespace dogwoodfall {
namespace {

StoreTransaction OpenTransaction(const ClaimRegistry& book) {
  StoreTransaction transaction;
  const std::string key = JournalHeadKey(book.journal);
  transaction.compares.push_back({key, 0});
  transaction.puts.push_back(
      {key, Encode(JournalHead{false, book.low_watermark})});
  return transaction;
}

StoreTransaction AppendTransaction(const ClaimRegistry& book) {
  StoreTransaction transaction;
  const std::string key = JournalSegmentKey(book.journal, book.next_segment);
  transaction.compares.push_back(
      {JournalHeadKey(book.journal), book.head_revision});
  transaction.compares.push_back({key, 0});
  transaction.puts.push_back({key, Encode(JournalSegment{book.in_flight})});
  return transaction;
}

/** Numbers of own segments all of whose claims are older than a time. */
std::vector<uint64_t> OldSegments(const ClaimRegistry& book,
                                  Millis oldest_kept) {
  std::vector<uint64_t> old;
  for (const auto& [number, max_id_timestamp] : book.segments) {
    if (max_id_timestamp < oldest_kept)
      old.push_back(number);
  }
  return old;
}

StoreTransaction PurgeTransaction(ClaimRegistry& book,
                                  const std::vector<uint64_t>& old) {
  StoreTransaction transaction;
  const std::string head = JournalHeadKey(book.journal);
  for (const uint64_t number : old) {
    book.low_watermark =
        std::max(book.low_watermark, book.segments.at(number) + Millis{1});
    transaction.deletes.push_back(JournalSegmentKey(book.journal, number));
  }
  transaction.compares.push_back({head, book.head_revision});
  transaction.puts.push_back(
      {head, Encode(JournalHead{false, book.low_watermark})});
  return transaction;
}

void FinishAppend(ClaimRegistry& book, ClaimResults& results) {
  Millis max_id_timestamp;
  for (const Claim& claim : book.in_flight) {
    const SubmissionKey key(claim.key);
    max_id_timestamp = std::max(max_id_timestamp, claim.id_timestamp);
    Millis& slot_newest = book.own_newest[SlotOf(book, key)];
    slot_newest = std::max(slot_newest, claim.id_timestamp);
    results.claimed.push_back(key);
  }
  book.segments[book.next_segment] = max_id_timestamp;
  ++book.next_segment;
  book.in_flight.clear();
}

const StoreItem* FindItem(const StoreReply& reply, const std::string& key) {
  for (const StoreItem& item : reply.items) {
    if (item.key == key)
      return &item;
  }
  return nullptr;
}

/** Rebuilds what is known of the own segments. */
void LoadSegments(ClaimRegistry& book, const StoreReply& reply) {
  book.segments.clear();
  for (uint64_t number = 1; number < book.next_segment; ++number) {
    const StoreItem* item =
        FindItem(reply, JournalSegmentKey(book.journal, number));
    if (item == nullptr)
      continue;
    const Result<JournalSegment> segment = DecodeJournalSegment(item->value);
    Millis max_id_timestamp;
    if (segment.ok()) {
      for (const Claim& claim : segment.value().claims)
        max_id_timestamp = std::max(max_id_timestamp, claim.id_timestamp);
    }
    book.segments[number] = max_id_timestamp;
  }
}

/** Learns from the whole journal, read after a call that did not succeed. */
void TakeReadBack(ClaimRegistry& book,
                  const StoreReply& reply,
                  ClaimResults& results) {
  const StoreItem* head = FindItem(reply, JournalHeadKey(book.journal));
  const bool is_written =
      FindItem(reply, JournalSegmentKey(book.journal, book.next_segment)) !=
      nullptr;
  if (is_written && !book.in_flight.empty())
    FinishAppend(book, results);
  const Result<JournalHead> decoded = head == nullptr
                                          ? Result<JournalHead>(Error{})
                                          : DecodeJournalHead(head->value);
  if (!decoded.ok() || decoded.value().sealed) {
    results.undecided = AbandonJournal(book);
    return;
  }
  LoadSegments(book, reply);
  book.head_revision = head->mod_revision;
  book.phase = JournalPhase::kOpen;
}

bool MayCall(const ClaimRegistry& book, Millis now) {
  return book.call == JournalCall::kNone && now >= book.retry_at &&
         !book.store_restored && book.cluster_id != 0;
}

/** Pause that keeps the writes of all owners within their budget. */
Millis PauseBetweenAppends(const ClaimRegistry& book,
                           const ClaimLimits& limits) {
  constexpr int64_t kMillisPerSecond = 1000;
  return {kMillisPerSecond * std::max(book.owner_count, 1U) /
          std::max(limits.writes_per_second, 1U)};
}

PendingStoreCall ReadBackCall(ClaimRegistry& book) {
  book.call = JournalCall::kReadBack;
  return {StorePurpose::kClaim, StoreRead{JournalPrefix(book.journal), true}};
}

PendingStoreCall AppendCall(ClaimRegistry& book, const ClaimLimits& limits) {
  if (book.in_flight.empty()) {
    const size_t count = std::min(limits.max_group, book.waiting.size());
    const auto end = book.waiting.begin() + static_cast<ptrdiff_t>(count);
    book.in_flight.assign(book.waiting.begin(), end);
    book.waiting.erase(book.waiting.begin(), end);
  }
  book.call = JournalCall::kAppend;
  return {StorePurpose::kClaim, AppendTransaction(book)};
}

}  // namespace

ClaimRegistry CreateClaimRegistry(const DaemonRef& self,
                                  const ClaimLimits& limits) {
  ClaimRegistry book;
  book.self = self;
  book.journal = {self, 1};
  book.serving.assign(limits.slots, false);
  book.own_newest.assign(limits.slots, Millis{});
  return book;
}

uint32_t SlotOf(const ClaimRegistry& book, const SubmissionKey& key) {
  return static_cast<uint32_t>(StableHash(key.value) % book.serving.size());
}

ClaimLookup LookUpClaim(const ClaimRegistry& book,
                        const SubmissionKey& key,
                        Millis id_timestamp) {
  const uint32_t slot = SlotOf(book, key);
  if (book.serving[slot]) {
    const auto before = book.inherited.find(key);
    if (before != book.inherited.end())
      return {ClaimStatus::kClaimedByPreviousOwner, before->second};
    if (id_timestamp < book.low_watermark)
      return {ClaimStatus::kTooOld, {}};
    return {ClaimStatus::kUnclaimed, book.self};
  }
  if (!book.table_known || slot >= book.table.slots.size())
    return {ClaimStatus::kUndecided, {}};
  const JournalRef& owner = book.table.slots[slot].owner;
  if (IsNone(owner) || owner.daemon == book.self)
    return {ClaimStatus::kUndecided, {}};
  return {ClaimStatus::kOwnedElsewhere, owner.daemon};
}

bool QueueClaim(ClaimRegistry& book,
                const SubmissionKey& key,
                Millis id_timestamp,
                const ClaimLimits& limits) {
  if (book.phase != JournalPhase::kOpen || book.store_restored ||
      book.waiting.size() >= limits.max_waiting)
    return false;
  book.waiting.push_back({key.value, id_timestamp});
  return true;
}

std::optional<PendingStoreCall> NextJournalCall(ClaimRegistry& book,
                                                const ClaimLimits& limits,
                                                Millis now) {
  if (!MayCall(book, now))
    return std::nullopt;
  if (book.phase == JournalPhase::kClosed) {
    book.call = JournalCall::kOpen;
    book.phase = JournalPhase::kOpening;
    return PendingStoreCall{StorePurpose::kClaim, OpenTransaction(book)};
  }
  if (book.phase == JournalPhase::kOpening)
    return ReadBackCall(book);
  if (!book.in_flight.empty() || !book.waiting.empty()) {
    if (now < book.next_append)
      return std::nullopt;
    book.next_append = now + PauseBetweenAppends(book, limits);
    return AppendCall(book, limits);
  }
  const std::vector<uint64_t> old =
      OldSegments(book, now - limits.window - limits.clock_skew);
  if (old.empty())
    return std::nullopt;
  book.call = JournalCall::kPurge;
  const StoreTransaction purge = PurgeTransaction(book, old);
  for (const uint64_t number : old)
    book.segments.erase(number);
  return PendingStoreCall{StorePurpose::kClaim, purge};
}

ClaimResults HandleJournalReply(ClaimRegistry& book,
                                const StoreReply& reply,
                                const ClaimLimits& limits,
                                Millis now) {
  ClaimResults results;
  const JournalCall call = book.call;
  book.call = JournalCall::kNone;
  if (reply.outcome == StoreOutcome::kUnknown) {
    book.retry_at = now + limits.retry_after;
    // The head may or may not have changed: it is read before the next use.
    if (call == JournalCall::kPurge)
      book.phase = JournalPhase::kOpening;
    return results;
  }
  if (call == JournalCall::kReadBack) {
    if (reply.items.empty() && book.in_flight.empty() && book.segments.empty())
      book.phase = JournalPhase::kClosed;
    else
      TakeReadBack(book, reply, results);
    return results;
  }
  if (reply.outcome == StoreOutcome::kCompareFailed) {
    book.phase = JournalPhase::kOpening;
    return results;
  }
  if (call == JournalCall::kOpen || call == JournalCall::kPurge) {
    book.head_revision = reply.revision;
    book.phase = JournalPhase::kOpen;
  }
  if (call == JournalCall::kOpen)
    book.next_table_read = Millis{};
  if (call == JournalCall::kAppend)
    FinishAppend(book, results);
  return results;
}

bool UpdateStoreRevision(ClaimRegistry& book,
                         const StoreReply& reply,
                         uint64_t known_at_call) {
  if (reply.outcome == StoreOutcome::kUnknown)
    return true;
  const bool is_first = book.cluster_id == 0;
  const bool same_history = is_first || reply.cluster_id == book.cluster_id;
  book.cluster_id = reply.cluster_id;
  if (same_history && reply.revision >= known_at_call) {
    book.store_revision = std::max(book.store_revision, reply.revision);
    return true;
  }
  if (!book.store_restored) {
    ++book.restores;
    book.recoveries_seen = book.table.recoveries;
  }
  book.store_restored = true;
  book.store_revision = reply.revision;
  book.next_table_read = Millis{};
  return false;
}

void RecordPeerRevision(ClaimRegistry& book,
                        uint64_t revision,
                        uint64_t cluster_id) {
  if (cluster_id == book.cluster_id)
    book.store_revision = std::max(book.store_revision, revision);
  else if (cluster_id != 0 && book.cluster_id != 0)
    book.has_peer_of_other_history = true;
}

std::vector<SubmissionKey> AbandonJournal(ClaimRegistry& book) {
  std::vector<SubmissionKey> undecided;
  for (const std::vector<Claim>* claims : {&book.in_flight, &book.waiting}) {
    for (const Claim& claim : *claims)
      undecided.push_back(SubmissionKey(claim.key));
  }
  book.in_flight.clear();
  book.waiting.clear();
  book.segments.clear();
  book.phase = JournalPhase::kClosed;
  book.serving.assign(book.serving.size(), false);
  book.own_newest.assign(book.own_newest.size(), Millis{});
  ++book.journal.generation;
  book.next_segment = 1;
  book.next_table_read = Millis{};
  return undecided;
}

void ForgetExpiredClaims(ClaimRegistry& book,
                         const ClaimLimits& limits,
                         Millis now) {
  const Millis oldest_kept = now - limits.window - limits.clock_skew;
  while (!book.inherited_by_id_timestamp.empty() &&
         book.inherited_by_id_timestamp.begin()->first < oldest_kept) {
    const auto [id_timestamp, key] = *book.inherited_by_id_timestamp.begin();
    book.low_watermark = std::max(book.low_watermark, id_timestamp + Millis{1});
    book.inherited.erase(key);
    book.inherited_by_id_timestamp.erase(
        book.inherited_by_id_timestamp.begin());
  }
}

bool HasNoOpenClaims(const ClaimRegistry& book) {
  return book.waiting.empty() && book.in_flight.empty() &&
         book.call == JournalCall::kNone;
}

}  // namespace dogwoodfall
