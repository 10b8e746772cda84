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

/** Bounds of the ledger. */
struct LedgerLimits {
  /** Submissions held, running and ended together. */
  size_t max_records = 200'000;
  /** Bytes of outputs held for resubmissions. */
  size_t max_answer_bytes = 64'000'000;
  /** How long an ended submission is known. */
  Millis window{600'000};
};

/** Every submission this daemon is the home of, or was handed. */
struct Ledger {
  std::unordered_map<SubmissionKey, SubmissionRecord> records;
  /** Submissions that have not ended, by their deadline. */
  std::set<std::pair<Millis, SubmissionKey>> open_by_deadline;
  /** Ended submissions by the time in their id. */
  std::set<std::pair<Millis, SubmissionKey>> ended_by_id_timestamp;
  /** Ended submissions with outputs, oldest end first. */
  std::deque<SubmissionKey> with_outputs;
  /** Ids of a home with a time below this one were forgotten. */
  std::map<DaemonRef, Millis> minted_low_watermarks;
  /** Chosen ids with a time below this one were forgotten. */
  Millis chosen_low_watermark;
  /** Homes whose ledger this daemon has taken over. */
  std::set<DaemonRef> adopted_homes;
  size_t answer_bytes = 0;
  /** Counter of the id minted last. */
  uint64_t minted = 0;
  /** Reports and answers that fitted no open assignment. */
  uint64_t unmatched_reports = 0;
};

/** What a report changed. */
enum class ReportEffect : uint8_t {
  /** It fitted no open assignment and was dropped. */
  kUnmatched = 0,
  /** The task ended with success. */
  kSucceeded = 1,
  /** The task ended without success; the submission can't be complete. */
  kFailed = 2,
  /** The task did not start, or may start again, and is to be assigned. */
  kReassign = 3,
};

/** How often tasks may be assigned again. */
struct RetryLimits {
  /** Endpoints an idempotent single request may lose. */
  uint32_t max_endpoints_lost = 3;
  /** Times holders may give a task back. */
  uint32_t max_returns = 20;
};

/** Mints an id with this daemon as home. */
SubmissionId MintId(Ledger& ledger,
                    const DaemonRef& self,
                    const ZoneId& zone,
                    Millis now);

/** The record of a key, or null. */
SubmissionRecord* FindRecord(Ledger& ledger, const SubmissionKey& key);
const SubmissionRecord* FindRecord(const Ledger& ledger,
                                   const SubmissionKey& key);

/** Adds a record for a new submission. The key must not be in use.
 *
 * @param stamp the time in the id
 */
SubmissionRecord& OpenRecord(Ledger& ledger,
                             const Submission& submission,
                             const DaemonRef& self,
                             Millis id_timestamp,
                             Millis now);

/** Applies what a holder reports of a task.
 *
 * @param from the daemon life that sent the report
 */
ReportEffect ApplyReport(SubmissionRecord& record,
                         const DaemonRef& from,
                         const TaskReport& report,
                         const RetryLimits& limits);

/** What is known of the start of the submission as a whole. */
StartState StateOf(const SubmissionRecord& record);

/** The complete answer; only to be called when every task succeeded. */
Answer CompleteAnswer(const SubmissionRecord& record, Millis now);

/** The failed answer for a code, with what is known of its start. */
Answer FailedRecordAnswer(const SubmissionRecord& record,
                          ResultCode code,
                          Millis now);

/** Ends a submission with its final answer and drops its tasks. */
void EndRecord(Ledger& ledger,
               SubmissionRecord& record,
               const Answer& answer,
               const LedgerLimits& limits);

/** Removes a record that was refused before anything started. */
void RemoveRecord(Ledger& ledger, const SubmissionKey& key);

/** Forgets ended submissions that are older than the window. */
void ForgetExpiredSubmissions(Ledger& ledger,
                              const LedgerLimits& limits,
                              Millis now);

/** The lowest time in ids of a home that are still known. */
Millis LowWatermarkOf(const Ledger& ledger, const DaemonRef& home);

/** Adds a submission that a stopping home handed over. */
void AdoptSubmission(Ledger& ledger,
                     const KnownSubmission& known,
                     const LedgerLimits& limits);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LEDGER_LEDGER_H_
