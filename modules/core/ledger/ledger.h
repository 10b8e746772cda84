#ifndef DOGWOODFALL_MODULES_CORE_LEDGER_LEDGER_H_
#define DOGWOODFALL_MODULES_CORE_LEDGER_LEDGER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/ids.h"
#include "base/millis.h"
#include "core/ledger/submission_id.h"
#include "core/ledger/submission_record.h"
#include "model/daemon_ref.h"
#include "model/peer_message.h"
#include "model/task_report.h"

namespace dogwoodfall {

/** Limits of the ledger. */
struct LedgerLimits {
  /** Maximum number of submissions, open and ended ones together. */
  size_t max_records = 200'000;
  /** Maximum size of the outputs retained for resubmissions. */
  size_t max_answer_bytes = 64'000'000;
  /** Retention period of ended submissions. */
  Millis window{600'000};
};

/** All submissions that this daemon is the home of, and ended ones handed over
 * to it.
 */
struct Ledger {
  std::unordered_map<SubmissionKey, SubmissionRecord> records;
  /** Open submissions by deadline. */
  std::set<std::pair<Millis, SubmissionKey>> open_by_deadline;
  /** Ended submissions by id timestamp. */
  std::set<std::pair<Millis, SubmissionKey>> ended_by_id_timestamp;
  /** Ended submissions with outputs, the one that ended first in front. */
  std::deque<SubmissionKey> ended_with_outputs;
  /** For each home, the low watermark of the ids it minted: ids with a lower
   * timestamp have been forgotten.
   */
  std::map<DaemonRef, Millis> minted_low_watermarks;
  /** Low watermark of caller-chosen ids. */
  Millis chosen_low_watermark;
  /** Homes that have handed their ledger over to this daemon. */
  std::set<DaemonRef> adopted_homes;
  size_t answer_bytes = 0;
  /** Counter of the last minted id. */
  uint64_t minted = 0;
  /** Number of reports and answers that matched no open assignment. */
  uint64_t unmatched_reports = 0;
};

/** Effect of a task report. */
enum class ReportEffect : uint8_t {
  /** Matched no open assignment and was dropped. */
  kUnmatched = 0,
  /** The task succeeded. */
  kSucceeded = 1,
  /** The task failed, so the submission can't complete. */
  kFailed = 2,
  /** The task did not start or may be repeated; it must be assigned again. */
  kReassign = 3,
};

/** Limits of assigning a task again. */
struct RetryLimits {
  /** Maximum number of endpoints that an idempotent single request may lose. */
  uint32_t max_endpoints_lost = 3;
  /** Maximum number of times that holders may return a task. */
  uint32_t max_returns = 20;
};

/** Mints an id with this daemon as home. */
SubmissionId MintId(Ledger& ledger,
                    const DaemonRef& self,
                    const ZoneId& zone,
                    Millis now);

/** Returns the record of a key, or null. */
SubmissionRecord* FindRecord(Ledger& ledger, const SubmissionKey& key);
const SubmissionRecord* FindRecord(const Ledger& ledger,
                                   const SubmissionKey& key);

/** Adds a record for a new submission. The key must not be in use.
 *
 * @param id_timestamp time from the submission id
 */
SubmissionRecord& OpenRecord(Ledger& ledger,
                             const Submission& submission,
                             const DaemonRef& self,
                             Millis id_timestamp,
                             Millis now);

/** Applies a holder's report of a task.
 *
 * @param from the incarnation that sent the report
 */
ReportEffect ApplyReport(SubmissionRecord& record,
                         const DaemonRef& from,
                         const TaskReport& report,
                         const RetryLimits& limits);

/** Returns the start state of the submission as a whole. */
StartState StartStateOf(const SubmissionRecord& record);

/** Makes the complete answer. Every task must have succeeded. */
Answer CompleteAnswer(const SubmissionRecord& record, Millis now);

/** Makes the failed answer for a code, with the submission's start state. */
Answer FailedRecordAnswer(const SubmissionRecord& record,
                          ResultCode code,
                          Millis now);

/** Ends a submission with its final answer and removes its tasks. */
void EndRecord(Ledger& ledger,
               SubmissionRecord& record,
               const Answer& answer,
               const LedgerLimits& limits);

/** Removes the record of a submission that was refused before any start. */
void RemoveRecord(Ledger& ledger, const SubmissionKey& key);

/** Forgets ended submissions that are older than the retention period. */
void ForgetExpiredSubmissions(Ledger& ledger,
                              const LedgerLimits& limits,
                              Millis now);

/** Returns the low watermark of the ids minted by a home. */
Millis LowWatermarkOf(const Ledger& ledger, const DaemonRef& home);

/** Adds an ended submission that a stopping home has handed over. */
void AdoptSubmission(Ledger& ledger,
                     const KnownSubmission& known,
                     const LedgerLimits& limits);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LEDGER_LEDGER_H_
