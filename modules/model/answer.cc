#include "model/answer.h"

namespace dogwoodfall {

const char* NameOf(AnswerStatus status) {
  switch (status) {
    case AnswerStatus::kComplete:
      return "complete";
    case AnswerStatus::kFailed:
      return "failed";
    case AnswerStatus::kRefused:
      return "refused";
    case AnswerStatus::kPending:
      return "pending";
  }
  return "pending";
}

Answer RefusedAnswer(const SubmissionId& id,
                     ResultCode code,
                     Millis retry_after) {
  Answer answer;
  answer.id = id;
  answer.status = AnswerStatus::kRefused;
  answer.code = code;
  answer.state = StartState::kNotStarted;
  answer.retry_after = retry_after;
  return answer;
}

Answer FailedAnswer(const SubmissionId& id, ResultCode code, StartState state) {
  Answer answer;
  answer.id = id;
  answer.status = AnswerStatus::kFailed;
  answer.code = code;
  answer.state = state;
  return answer;
}

Answer PendingAnswer(const SubmissionId& id,
                     ResultCode code,
                     StartState state,
                     Millis retry_after) {
  Answer answer;
  answer.id = id;
  answer.status = AnswerStatus::kPending;
  answer.code = code;
  answer.state = state;
  answer.retry_after = retry_after;
  return answer;
}

}  // namespace dogwoodfall
