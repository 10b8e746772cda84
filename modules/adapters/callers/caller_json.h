#ifndef DOGWOODFALL_MODULES_ADAPTERS_CALLERS_CALLER_JSON_H_
#define DOGWOODFALL_MODULES_ADAPTERS_CALLERS_CALLER_JSON_H_

#include <string>

#include "base/millis.h"
#include "base/result.h"
#include "model/answer.h"
#include "model/submission.h"

namespace dogwoodfall {

/** Limits on requests of callers. */
struct CallerLimits {
  size_t max_tasks = 1'500;
  Millis max_deadline{600'000};
  Millis max_run_time{600'000};
  int64_t max_memory_mb = 1'000'000;
  size_t max_text_bytes = 100;
  size_t max_payload_bytes = 100'000;
};

/** Parses a job: a JSON object with customer, deadline_ms, tasks and optionally
 * id. All fields are validated; the first violation is returned as the error,
 * with the path of the field in its detail.
 */
Result<Submission> ParseJob(const std::string& body,
                            const CallerLimits& limits);

/** Parses a single request: a JSON object with customer, deadline_ms, task and
 * optionally id.
 */
Result<Submission> ParseRequest(const std::string& body,
                                const CallerLimits& limits);

/** Parses a body whose only field is customer. */
Result<CustomerId> ParseCustomer(const std::string& body,
                                 const CallerLimits& limits);

/** Formats an answer as JSON.
 *
 * @param spare_id unused id that the caller may use next; empty when there is
 * none
 */
std::string FormatAnswer(const Answer& answer, const SubmissionId& spare_id);

/** Formats the refusal of a request that has no submission id as JSON. */
std::string FormatRefusal(ResultCode code, const std::string& detail);

/** Formats a minted id as JSON. */
std::string FormatMintResponse(const SubmissionId& id);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_CALLERS_CALLER_JSON_H_
