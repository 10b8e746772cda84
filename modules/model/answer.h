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

/** What an answer says of a submission as a whole. */
enum class AnswerStatus : uint8_t {
  /** Every task ran and succeeded; all outcomes are in the answer. */
  kComplete = 0,
  /** It ended without being complete; the state says whether anything ran. */
  kFailed = 1,
  /** It was not taken; nothing was started for this request. */
  kRefused = 2,
  /** It is not decided yet; ask again. */
  kPending = 3,
};

/** Answer to a caller's request. */
struct Answer {
  SubmissionId id;
  AnswerStatus status = AnswerStatus::kPending;
  ResultCode code = ResultCode::kStillRunning;
  StartState state = StartState::kNotStarted;
  /** When to ask again; 0 when asking again is of no use. */
  Millis retry_after;
  /** One for each task, and only in a complete answer. */
  std::vector<TaskOutcome> outcomes;
  /** Tasks that were started. */
  uint32_t starts = 0;
  Waste waste;
  /** Time between the arrival at the home and the end. */
  Millis response_time;
  /** Least time in which its tasks could have run: the longest run time, or
   * all run times divided by the slots of all endpoints if that is more.
   */
  Millis ideal_time;
};

/** The name used in answers: complete, failed, refused or pending. */
const char* NameOf(AnswerStatus status);

/** An answer that says a request was refused and did not run. */
Answer RefusedAnswer(const SubmissionId& id,
                     ResultCode code,
                     Millis retry_after = {});

/** An answer that says a submission failed, and what is known of its start. */
Answer FailedAnswer(const SubmissionId& id, ResultCode code, StartState state);

/** An answer that says it is not decided yet. */
Answer PendingAnswer(const SubmissionId& id,
                     ResultCode code,
                     StartState state,
                     Millis retry_after);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ANSWER_H_
