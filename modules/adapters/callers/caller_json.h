#ifndef DOGWOODFALL_MODULES_ADAPTERS_CALLERS_CALLER_JSON_H_
#define DOGWOODFALL_MODULES_ADAPTERS_CALLERS_CALLER_JSON_H_

#include <string>

#include "base/millis.h"
#include "base/result.h"
#include "model/answer.h"
#include "model/submission.h"

namespace dogwoodfall {

/** Bounds of what callers may send. */
struct CallerLimits {
  size_t max_tasks = 1'500;
  Millis max_deadline{600'000};
  Millis max_run_time{600'000};
  int64_t max_memory_mb = 1'000'000;
  size_t max_text_bytes = 100;
  size_t max_payload_bytes = 100'000;
};

/** Reads a job: an object with customer, id or none, deadline_ms and tasks.
 * Everything is checked; the first fault is the error.
 */
Result<Submission> ParseJob(const std::string& body,
                            const CallerLimits& limits);

/** Reads a single request: customer, id or none, deadline_ms and task. */
Result<Submission> ParseRequest(const std::string& body,
                                const CallerLimits& limits);

/** Reads the customer of a body that has nothing else. */
Result<CustomerId> ParseCustomer(const std::string& body,
                                 const CallerLimits& limits);

/** The JSON of an answer. */
std::string FormatAnswer(const Answer& answer, const SubmissionId& spare_id);

/** The JSON of a refusal of something that has no id. */
std::string FormatRefusal(ResultCode code, const std::string& detail);

/** The JSON of a minted id. */
std::string FormatMintResponse(const SubmissionId& id);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_CALLERS_CALLER_JSON_H_
