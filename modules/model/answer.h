#ifndef DOGWOODFALL_MODULES_MODEL_ANSWER_H_
#define DOGWOODFALL_MODULES_MODEL_ANSWER_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "base/result_code.h"
#include "base/start_state.h"
#include "model/task_outcome.h"
#include "model/waste.h"

namespace dogwoodfall {

/** Status of a submission as a whole. */
enum class AnswerStatus : uint8_t {
  /** Every task ran and succeeded; all outcomes are in the answer. */
  kComplete = 0,
  /** It ended without completing; Answer::state says whether anything ran. */
  kFailed = 1,
  /** It was not accepted; nothing was started for this request. */
  kRefused = 2,
  /** The result is not known yet; the caller has to retry. */
  kPending = 3,
};

/** Answer to a caller's request. */
struct Answer {
  SubmissionId id;
  AnswerStatus status = AnswerStatus::kPending;
  ResultCode code = ResultCode::kStillRunning;
  StartState state = StartState::kNotStarted;
  /** Time after which to retry; 0 when a retry is of no use. */
  Millis retry_after;
  /** One per task; filled only in a complete answer. */
  std::vector<TaskOutcome> outcomes;
  /** Number of tasks that were started. */
  uint32_t starts = 0;
  Waste waste;
  /** Time from the arrival at the home to the end of the submission. */
  Millis response_time;
  /** Lower bound of the time in which its tasks could have run: the maximum of
   * the longest run time and the sum of all run times divided by the slots of
   * all endpoints.
   */
  Millis ideal_time;
};

/** Returns the name used in answers: complete, failed, refused or pending. */
const char* NameOf(AnswerStatus status);

/** Makes the answer to a request that was refused and did not run. */
Answer RefusedAnswer(const SubmissionId& id,
                     ResultCode code,
                     Millis retry_after = {});

/** Makes the answer for a failed submission; the state says whether it may have
 * started.
 */
Answer FailedAnswer(const SubmissionId& id, ResultCode code, StartState state);

/** Makes the answer for a submission whose result is not known yet. */
Answer PendingAnswer(const SubmissionId& id,
                     ResultCode code,
                     StartState state,
                     Millis retry_after);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ANSWER_H_
