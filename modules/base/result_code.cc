#include "base/result_code.h"

#include <algorithm>

namespace dogwoodfall {

const std::vector<ResultCodeRow>& ResultCodeTable() {
  using C = ResultCode;
  static const std::vector<ResultCodeRow> kTable = {
      {C::kOk, "ok", 200, "Every task ran and succeeded."},
      {C::kMalformedRequest, "malformed_request", 400,
       "The request is not the JSON or HTTP that the interface describes."},
      {C::kBodyTooLarge, "body_too_large", 413,
       "The body is larger than the setting callers.max_body_bytes."},
      {C::kTooManyTasks, "too_many_tasks", 400,
       "A job has more tasks than the setting callers.max_tasks_per_job."},
      {C::kNoTasks, "no_tasks", 400, "A job has no task."},
      {C::kDuplicateTaskId, "duplicate_task_id", 400,
       "Two tasks of a job have the same id."},
      {C::kValueOutOfRange, "value_out_of_range", 400,
       "A number or a text is outside its allowed range."},
      {C::kUnknownCustomer, "unknown_customer", 403,
       "The customer is not in the operators' configuration."},
      {C::kUnknownPath, "unknown_path", 404, "No such path."},
      {C::kMethodNotAllowed, "method_not_allowed", 405,
       "The path does not support this method."},
      {C::kBadSubmissionId, "bad_submission_id", 400,
       "The id was neither minted by a daemon nor has the form NAME@MILLIS."},
      {C::kIdOfAnotherCustomer, "id_of_another_customer", 409,
       "The id was used by another customer."},
      {C::kResubmissionDiffers, "resubmission_differs", 409,
       "The id was used for a submission with other content."},
      {C::kUnknownSubmission, "unknown_submission", 404,
       "No submission with this id is known; the daemon responsible for the id "
       "has started none."},
      {C::kUnknownField, "unknown_field", 400,
       "The request has a field that the interface does not describe."},
      {C::kQueueFull, "queue_full", 429,
       "The customer's queue is full; retry after the stated time."},
      {C::kDeadlineUnreachable, "deadline_unreachable", 429,
       "The deadline would pass before the work could be completed."},
      {C::kNoEndpointFits, "no_endpoint_fits", 422,
       "No endpoint that the plan allows is large enough for the task."},
      {C::kNotReady, "not_ready", 503,
       "The daemon has no active configuration yet."},
      {C::kDraining, "draining", 503,
       "The daemon is stopping and could not forward the work."},
      {C::kTooManyConnections, "too_many_connections", 503,
       "More caller connections than the setting callers.max_connections."},
      {C::kStoreUnavailable, "store_unavailable", 503,
       "An id chosen by the caller can't be claimed while the store is "
       "unavailable; a minted id can be used."},
      {C::kLedgerFull, "ledger_full", 503,
       "The daemon holds the maximum number of submissions."},
      {C::kNoEndpointReached, "no_endpoint_reached", 503,
       "Every endpoint tried refused the start or the connection."},
      {C::kIdFromTheFuture, "id_from_the_future", 400,
       "The time in the id is ahead by more than the allowed clock skew."},
      {C::kLimitReached, "limit_reached", 429,
       "A limit of the customer's plan is reached."},
      {C::kTaskFailed, "task_failed", 200, "A task ran and failed."},
      {C::kDeadlineExceeded, "deadline_exceeded", 200,
       "The deadline passed before every task had ended."},
      {C::kCancelled, "cancelled", 200, "The caller cancelled the submission."},
      {C::kEndpointLost, "endpoint_lost", 200,
       "The connection to the endpoint broke after the start was sent."},
      {C::kDaemonLost, "daemon_lost", 200,
       "A daemon that held a task of the submission was lost."},
      {C::kLeaseExpired, "lease_expired", 200,
       "The endpoint did not answer within the lease of the task."},
      {C::kEndpointsLostByJob, "endpoints_lost_by_job", 200,
       "Too many endpoints were lost while they held tasks of the job."},
      {C::kHomeGone, "home_gone", 200,
       "The daemon that owned the submission is gone."},
      {C::kIdTooOld, "id_too_old", 410,
       "The id is older than the window in which submissions are known."},
      {C::kAnswerNotKept, "answer_not_kept", 410,
       "The submission ended; its answer is no longer stored."},
      {C::kAnswerTooLarge, "answer_too_large", 200,
       "The outputs are larger than the setting tasks.max_output_bytes."},
      {C::kHomeUnreachable, "home_unreachable", 503,
       "The daemon that owns the submission can't be reached now."},
      {C::kStillRunning, "still_running", 202, "The submission is running."},
      {C::kClaimUndecided, "claim_undecided", 503,
       "The store did not say whether the id was claimed."},
      {C::kInternal, "internal", 500, "An internal error of the daemon."},
      {C::kBadSettings, "bad_settings", 500, "The settings file is invalid."},
      {C::kBadConfiguration, "bad_configuration", 400,
       "The operators' configuration is invalid."},
      {C::kRevisionConflict, "revision_conflict", 409,
       "The configuration has changed since the revision that was edited."},
      {C::kOutcomeUnknown, "outcome_unknown", 503,
       "It is unknown whether the change took effect."},
      {C::kConnectionFailed, "connection_failed", 503,
       "The connection to the server failed."},
  };
  return kTable;
}

const ResultCodeRow& RowOf(ResultCode code) {
  const std::vector<ResultCodeRow>& table = ResultCodeTable();
  const auto find = [&table](ResultCode wanted) {
    return std::find_if(
        table.begin(), table.end(),
        [wanted](const ResultCodeRow& row) { return row.code == wanted; });
  };
  const auto found = find(code);
  return found == table.end() ? *find(ResultCode::kInternal) : *found;
}

}  // namespace dogwoodfall
