#ifndef DOGWOODFALL_MODULES_MODEL_TASK_OUTCOME_H_
#define DOGWOODFALL_MODULES_MODEL_TASK_OUTCOME_H_

#include <string>

#include "base/ids.h"
#include "base/millis.h"
#include "base/result_code.h"
#include "base/start_state.h"

namespace dogwoodfall {

/** Result of one task. */
struct TaskOutcome {
  TaskId task;
  ResultCode code = ResultCode::kInternal;
  StartState state = StartState::kNotStarted;
  /** Output from the endpoint; empty unless the task succeeded. */
  std::string output;
  EndpointId endpoint;
  /** Time from the start to the endpoint's answer. */
  Millis run_time;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_TASK_OUTCOME_H_
