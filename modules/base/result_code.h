#ifndef DOGWOODFALL_MODULES_BASE_RESULT_CODE_H_
#define DOGWOODFALL_MODULES_BASE_RESULT_CODE_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace dogwoodfall {

/** Numbered results. The numbers are part of the public interface and never
 * change their meaning; docs/RESULT-CODES.md lists them with their texts.
 */
enum class ResultCode : uint16_t {
  kOk = 0,

  // 1xx: the request is invalid; nothing was started.
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

  // 2xx: refused, temporarily or permanently; nothing was started.
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

  // 3xx: failed; the start state says whether anything ran.
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

  // 4xx: not decided yet; the caller has to retry.
  kHomeUnreachable = 400,
  kStillRunning = 401,
  kClaimUndecided = 402,

  // 5xx: errors of the daemon, its settings or its configuration.
  kInternal = 500,
  kBadSettings = 501,
  kBadConfiguration = 502,
  kRevisionConflict = 503,
  kOutcomeUnknown = 504,
  kConnectionFailed = 505,
};

/** One row of the table of result codes. */
struct ResultCodeRow {
  ResultCode code;
  std::string_view name;
  /** HTTP status of an answer with this code. */
  int http_status;
  std::string_view meaning;
};

/** Returns all codes, sorted by number. */
const std::vector<ResultCodeRow>& ResultCodeTable();

/** Returns the row of a code, or that of kInternal for an unknown number. */
const ResultCodeRow& RowOf(ResultCode code);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_RESULT_CODE_H_
