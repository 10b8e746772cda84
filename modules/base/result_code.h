#ifndef DOGWOODFALL_MODULES_BASE_RESULT_CODE_H_
#define DOGWOODFALL_MODULES_BASE_RESULT_CODE_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace dogwoodfall {

/** Numbered results. Numbers are part of the interface and never change their
 * meaning; the table with texts is docs/RESULT-CODES.md.
 */
enum class ResultCode : uint16_t {
  kOk = 0,

  // 1xx: the request itself is wrong; nothing was started.
  kMalformedRequest = 100,
  kBodyTooLarge = 101,
  kTooManyTasks = 102,
  kNoTasks = 103,
  kDuplicateTaskId = 104,
  kValueOutOfRange = 105,
  kUnknownCustomer = 106,
  kUnknownPath = 107,
  kMethodNotAllowed = 108,
  kBadSubmissionId = 109,
  kIdOfAnotherCustomer = 110,
  kResubmissionDiffers = 111,
  kUnknownSubmission = 112,
  kUnknownField = 113,

  // 2xx: refused for now or for good; nothing was started.
  kQueueFull = 200,
  kDeadlineUnreachable = 201,
  kNoEndpointFits = 202,
  kNotReady = 203,
  kDraining = 204,
  kTooManyConnections = 205,
  kStoreUnavailable = 206,
  kLedgerFull = 207,
  kNoEndpointReached = 208,
  kIdFromTheFuture = 209,
  kLimitReached = 210,

  // 3xx: failed; the start state says what ran.
  kTaskFailed = 300,
  kDeadlineExceeded = 301,
  kCancelled = 302,
  kEndpointLost = 303,
  kDaemonLost = 304,
  kLeaseExpired = 305,
  kEndpointsLostByJob = 306,
  kHomeGone = 307,
  kIdTooOld = 308,
  kAnswerNotKept = 309,
  kAnswerTooLarge = 310,

  // 4xx: undecided; ask again.
  kHomeUnreachable = 400,
  kStillRunning = 401,
  kClaimUndecided = 402,

  // 5xx: faults of the daemon or of its settings and configuration.
  kInternal = 500,
  kBadSettings = 501,
  kBadConfiguration = 502,
  kRevisionConflict = 503,
  kOutcomeUnknown = 504,
  kConnectionFailed = 505,
};

/** One row of the table of codes. */
struct ResultCodeRow {
  ResultCode code;
  std::string_view name;
  /** HTTP status an answer with this code has. */
  int http_status;
  std::string_view meaning;
};

/** All codes in the order of their numbers. */
const std::vector<ResultCodeRow>& ResultCodeTable();

/** The row of a code; that of kInternal for a number that is not in use. */
const ResultCodeRow& RowOf(ResultCode code);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_RESULT_CODE_H_
