#ifndef DOGWOODFALL_MODULES_CORE_CLAIMS_CLAIM_BOOK_H_
#define DOGWOODFALL_MODULES_CORE_CLAIMS_CLAIM_BOOK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/claims/ownership_job.h"
#include "core/ledger/submission_id.h"
#include "model/daemon_ref.h"
#include "ports/store_call.h"
#include "records/journal_segment.h"
#include "records/slot_table.h"

namespace dogwoodfall {

/** Times and bounds of claims. */
struct ClaimLimits {
  /** Parts into which the ids that callers choose are divided. */
  uint32_t slots = 64;
  /** Longest wait for a claim before the answer is that it is undecided. */
  Millis max_wait{2'000};
  /** Claims waiting to be written; beyond them none is taken. */
  size_t max_waiting = 5'000;
  /** Claims written at once. */
  size_t max_group = 2'000;
  /** Claim writes a second of all daemons together; beyond it claims wait and
   * are written together.
   */
  uint32_t writes_per_second = 160;
  /** Daemons that own slots, however many there are. */
  uint32_t max_owners = 8;
  /** Pause after a store call that failed. */
  Millis retry_after{200};
  /** Period of reading the table of slots without a cause. */
  Millis table_period{10'000};
  /** How far a caller's clock may be ahead. */
  Millis clock_skew{60'000};
  /** How long claims are kept. */
  Millis window{600'000};
};

/** Life of this daemon's own journal. */
enum class JournalPhase : uint8_t {
  kClosed = 0,
  kOpening = 1,
  kOpen = 2,
};

/** Which call to the own journal is out. */
enum class JournalCall : uint8_t {
  kNone = 0,
  kOpen = 1,
  kAppend = 2,
  kReadBack = 3,
  kPurge = 4,
};

/** Claims of the ids that callers choose.
 *
 * The ids are divided into slots; a table in the store names the owner of each.
 * Only the owner decides whether an id is new, and before the first start it
 * appends a claim to its own journal in the store. Appends compare the revision
 * of the journal's head, so a successor that has sealed the head knows that the
 * journal it then reads is final, without any clock.
 */
struct ClaimRegistry {
  DaemonRef self;

  JournalRef journal;
  JournalPhase phase = JournalPhase::kClosed;
  JournalCall call = JournalCall::kNone;
  uint64_t head_revision = 0;
  uint64_t next_segment = 1;
  /** Latest time in an id of each segment in the store. */
  std::map<uint64_t, Millis> segments;
  std::vector<Claim> waiting;
  std::vector<Claim> in_flight;
  Millis retry_at;
  /** When the next append may be made. */
  Millis next_append;
  /** Daemons that share the writes. */
  uint32_t owner_count = 1;

  SlotTable table;
  uint64_t table_revision = 0;
  bool table_known = false;
  /** Highest revision of the table that peers spoke of. */
  uint64_t peer_table_revision = 0;
  Millis next_table_read;
  /** For each slot, whether this daemon owns it and knows its claims. */
  std::vector<bool> serving;
  /** For each slot, the latest time in an id claimed in the own journal. */
  std::vector<Millis> own_newest;
  /** Ids claimed by former owners of the slots served here. */
  std::unordered_map<SubmissionKey, DaemonRef> inherited;
  std::set<std::pair<Millis, SubmissionKey>> inherited_by_id_timestamp;
  /** Ids with a time below this one are not known any more. */
  Millis low_watermark;
  OwnershipJob job;

  /** Highest revision of the store seen here or by a peer. */
  uint64_t store_revision = 0;
  /** Identity of the store's history; 0 before the first answer. */
  uint64_t cluster_id = 0;
  /** True from the moment the store is seen to have been restored until the
   * table says that it was recovered from. Nothing is claimed meanwhile.
   */
  bool store_restored = false;
  /** Recoveries in the table when the restore was seen. */
  uint64_t recoveries_seen = 0;
  /** True once a peer spoke of a store with another history. */
  bool has_peer_of_other_history = false;
  /** True until the journal of the time before a restore is abandoned. */
  bool needs_new_journal = false;
  /** Restores seen so far. */
  uint64_t restores = 0;
};

/** What is known of an id that a caller chose. */
enum class ClaimStatus : uint8_t {
  /** This daemon decides, and the id was not claimed so far. */
  kUnclaimed = 0,
  /** A former owner claimed it; that process life knows what became of it. */
  kClaimedByPreviousOwner = 1,
  /** Another daemon decides. */
  kOwnedElsewhere = 2,
  /** Nobody is known to decide now. */
  kUndecided = 3,
  /** The id is older than the claims that are kept. */
  kTooOld = 4,
};

/** An answer, with the daemon it speaks of. */
struct ClaimLookup {
  ClaimStatus answer = ClaimStatus::kUndecided;
  DaemonRef daemon;
};

/** Questions about the other daemons that ownership depends on. */
struct OwnershipContext {
  /** True when a process life can never come back. */
  std::function<bool(const DaemonRef&)> is_gone;
  /** The daemon that should own a slot. */
  std::function<DaemonId(uint32_t)> preferred_owner;
  /** True when this daemon is to give all its slots away. */
  bool is_releasing_all = false;
};

/** Claims whose outcome is known now. */
struct ClaimResults {
  std::vector<SubmissionKey> claimed;
  /** Not claimed by this journal, and never will be. */
  std::vector<SubmissionKey> undecided;
};

/** A store call the book wants made; its reply goes to the function that is
 * named like the purpose.
 */
struct PendingStoreCall {
  StorePurpose purpose;
  StoreRequest request;
};

/** Sets a book up for a process life. */
ClaimRegistry CreateClaimRegistry(const DaemonRef& self,
                                  const ClaimLimits& limits);

/** The slot of an id. */
uint32_t SlotOf(const ClaimRegistry& book, const SubmissionKey& key);

/** What is known of an id. */
ClaimLookup LookUpClaim(const ClaimRegistry& book,
                        const SubmissionKey& key,
                        Millis id_timestamp);

/** Queues a claim. Returns false when none can be taken now. */
bool QueueClaim(ClaimRegistry& book,
                const SubmissionKey& key,
                Millis id_timestamp,
                const ClaimLimits& limits);

/** The next call to the own journal, if one is due. */
std::optional<PendingStoreCall> NextJournalCall(ClaimRegistry& book,
                                                const ClaimLimits& limits,
                                                Millis now);

/** Takes the reply to a journal call. */
ClaimResults HandleJournalReply(ClaimRegistry& book,
                                const StoreReply& reply,
                                const ClaimLimits& limits,
                                Millis now);

/** Looks whether a reply comes from a store that was restored since.
 *
 * @param known_at_call the highest revision known when the call was made
 * @return false when the reply must not be used
 */
bool UpdateStoreRevision(ClaimRegistry& book,
                         const StoreReply& reply,
                         uint64_t known_at_call);

/** Notes a revision that a peer has seen. */
void RecordPeerRevision(ClaimRegistry& book,
                        uint64_t revision,
                        uint64_t cluster_id);

/** Gives up the own journal; a later one is opened under another name.
 *
 * @return the claims that were not written
 */
std::vector<SubmissionKey> AbandonJournal(ClaimRegistry& book);

/** Forgets inherited claims that are older than the window. */
void ForgetExpiredClaims(ClaimRegistry& book,
                         const ClaimLimits& limits,
                         Millis now);

/** True when no claim waits or is being written. */
bool HasNoOpenClaims(const ClaimRegistry& book);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_CLAIMS_CLAIM_BOOK_H_
