#ifndef DOGWOODFALL_MODULES_CORE_CLAIMS_CLAIM_REGISTRY_H_
#define DOGWOODFALL_MODULES_CORE_CLAIMS_CLAIM_REGISTRY_H_

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
#include "core/claims/slot_table_update.h"
#include "core/ledger/submission_id.h"
#include "model/daemon_ref.h"
#include "ports/store_call.h"
#include "records/journal_segment.h"
#include "records/slot_table.h"

namespace dogwoodfall {

/** Timeouts and limits of claims. */
struct ClaimLimits {
  /** Number of hash slots into which caller-chosen ids are partitioned. */
  uint32_t slots = 64;
  /** Time after which a pending claim is answered as undecided. */
  Millis max_wait{2'000};
  /** Maximum number of claims waiting to be written; further claims are
   * refused.
   */
  size_t max_waiting_claims = 5'000;
  /** Maximum number of claims in one journal segment. */
  size_t max_claims_per_append = 2'000;
  /** Claim writes per second of all daemons together. Claims above this rate
   * wait and are written in one batch.
   */
  uint32_t writes_per_second = 160;
  /** Maximum number of daemons that own slots, however many daemons there are.
   */
  uint32_t max_owners = 8;
  /** Pause after a failed store call. */
  Millis retry_after{200};
  /** Period at which the slot table is read when nothing else triggers a read.
   */
  Millis table_period{10'000};
  /** Maximum time by which a caller's clock may be ahead. */
  Millis clock_skew{60'000};
  /** Retention period of claims. */
  Millis window{600'000};
};

/** Phase of this daemon's own journal. */
enum class JournalPhase : uint8_t {
  kClosed = 0,
  /** Being opened, or to be read back after a call with an unclear outcome. */
  kOpening = 1,
  kOpen = 2,
};

/** The outstanding store call on this daemon's own journal. */
enum class JournalCall : uint8_t {
  kNone = 0,
  kOpen = 1,
  kAppend = 2,
  kReadBack = 3,
  kPurge = 4,
};

/** Registry of the caller-chosen ids that are claimed.
 *
 * The ids are partitioned into hash slots, and a table in the store names the
 * owner of each slot. Only the owner decides whether an id is new. It appends a
 * claim to its own journal in the store before the first start of the
 * submission. Every append compares the revision of the journal's head, so it
 * fails once a successor has sealed the head. The journal that the successor
 * then reads is therefore final. This does not rely on any clock.
 */
struct ClaimRegistry {
  DaemonRef self;

  JournalRef journal;
  JournalPhase phase = JournalPhase::kClosed;
  JournalCall call = JournalCall::kNone;
  uint64_t head_revision = 0;
  uint64_t next_segment = 1;
  /** Maximum id timestamp in each segment in the store. */
  std::map<uint64_t, Millis> segments;
  /** Claims that are not part of an append yet. */
  std::vector<Claim> waiting;
  /** Claims of the append whose outcome is not known yet. */
  std::vector<Claim> in_flight;
  /** Earliest time of the next journal call after a failed one. */
  Millis retry_at;
  /** Earliest time of the next append. */
  Millis next_append_at;
  /** Number of daemons that share the write budget. */
  uint32_t owner_count = 1;

  SlotTable table;
  uint64_t table_revision = 0;
  bool is_table_known = false;
  /** Table revision reported by a peer that is newer than the known one; 0 when
   * there is none.
   */
  uint64_t peer_table_revision = 0;
  Millis next_table_read_at;
  /** For each slot, whether this daemon owns it and has loaded its claims. */
  std::vector<bool> serving;
  /** For each slot, the maximum id timestamp claimed in this daemon's journal.
   */
  std::vector<Millis> own_max_id_timestamps;
  /** Ids claimed by previous owners of the slots served here. */
  std::unordered_map<SubmissionKey, DaemonRef> inherited;
  std::set<std::pair<Millis, SubmissionKey>> inherited_by_id_timestamp;
  /** Claims of ids with a lower timestamp have been forgotten. */
  Millis low_watermark;
  SlotTableUpdate table_update;

  /** Maximum store revision seen by this daemon or reported by a peer. */
  uint64_t store_revision = 0;
  /** Identity of the store's history; 0 before the first reply. */
  uint64_t cluster_id = 0;
  /** True from the detection of a store restore until the slot table records
   * the recovery. No id is claimed in between.
   */
  bool is_store_restored = false;
  /** Recovery count of the slot table when the restore was detected. */
  uint64_t recoveries_seen = 0;
  /** True once a peer has reported a store with another history. */
  bool has_peer_with_other_history = false;
  /** True until the journal written before a restore has been abandoned. */
  bool needs_new_journal = false;
  /** Number of restores detected so far. */
  uint64_t restores = 0;
};

/** Claim status of a caller-chosen id. */
enum class ClaimStatus : uint8_t {
  /** This daemon serves the hash slot of the id, and the id is not claimed. */
  kUnclaimed = 0,
  /** Claimed by a previous owner; only that incarnation may have started the
   * submission.
   */
  kClaimedByPreviousOwner = 1,
  /** Another daemon owns the hash slot of the id. */
  kOwnedElsewhere = 2,
  /** It is not known which daemon serves the hash slot at present. */
  kUndecided = 3,
  /** The id is older than the retained claims. */
  kTooOld = 4,
};

/** A claim status with the daemon it refers to. */
struct ClaimLookup {
  ClaimStatus status = ClaimStatus::kUndecided;
  DaemonRef daemon;
};

/** State outside the registry that slot ownership depends on. */
struct OwnershipContext {
  /** Returns true when an incarnation can never come back. */
  std::function<bool(const DaemonRef&)> is_gone;
  /** Returns the daemon that should own a slot. */
  std::function<DaemonId(uint32_t)> preferred_owner;
  /** True when this daemon must release all its slots. */
  bool is_releasing_all = false;
};

/** Ids whose claims were written or abandoned. */
struct ClaimResults {
  std::vector<SubmissionKey> claimed;
  /** Ids that are not claimed in this journal and never will be. */
  std::vector<SubmissionKey> undecided;
};

/** A store call to be made for the registry. The reply goes to
 * HandleJournalReply or HandleOwnershipReply, depending on the purpose.
 */
struct StoreCallRequest {
  StorePurpose purpose;
  StoreRequest request;
};

/** Creates the registry of a new incarnation. */
ClaimRegistry CreateClaimRegistry(const DaemonRef& self,
                                  const ClaimLimits& limits);

/** Returns the hash slot of an id. */
uint32_t SlotOf(const ClaimRegistry& registry, const SubmissionKey& key);

/** Returns the claim status of an id. */
ClaimLookup LookUpClaim(const ClaimRegistry& registry,
                        const SubmissionKey& key,
                        Millis id_timestamp);

/** Queues a claim. Returns false when the journal is not open, the store has
 * been restored or too many claims are waiting.
 */
bool QueueClaim(ClaimRegistry& registry,
                const SubmissionKey& key,
                Millis id_timestamp,
                const ClaimLimits& limits);

/** Returns the next call on this daemon's journal, if one is due. The registry
 * treats a returned call as sent.
 */
std::optional<StoreCallRequest> NextJournalCall(ClaimRegistry& registry,
                                                const ClaimLimits& limits,
                                                Millis now);

/** Handles the reply to a journal call. */
ClaimResults HandleJournalReply(ClaimRegistry& registry,
                                const StoreReply& reply,
                                const ClaimLimits& limits,
                                Millis now);

/** Records the revision of a store reply and detects whether the store was
 * restored from a backup.
 *
 * @param known_at_call the maximum revision known when the call was made
 * @return false when the reply must not be used
 */
bool UpdateStoreRevision(ClaimRegistry& registry,
                         const StoreReply& reply,
                         uint64_t known_at_call);

/** Records the store revision that a peer reports, or that the peer's store has
 * another history.
 */
void RecordPeerRevision(ClaimRegistry& registry,
                        uint64_t revision,
                        uint64_t cluster_id);

/** Abandons the own journal. The next one is opened under a new generation.
 *
 * @return the claims that may not have been written
 */
std::vector<SubmissionKey> AbandonJournal(ClaimRegistry& registry);

/** Forgets inherited claims that are older than the retention period. */
void ForgetExpiredClaims(ClaimRegistry& registry,
                         const ClaimLimits& limits,
                         Millis now);

/** Returns true when no claim is waiting or being written and no journal call
 * is outstanding.
 */
bool HasNoOpenClaims(const ClaimRegistry& registry);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_CLAIMS_CLAIM_REGISTRY_H_
