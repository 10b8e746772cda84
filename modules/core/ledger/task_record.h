#ifndef DOGWOODFALL_MODULES_CORE_LEDGER_TASK_RECORD_H_
#define DOGWOODFALL_MODULES_CORE_LEDGER_TASK_RECORD_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"
#include "base/start_state.h"
#include "model/daemon_ref.h"
#include "model/task_outcome.h"
#include "model/task_spec.h"

namespace dogwoodfall {

/** A task as its home knows it. */
struct TaskRecord {
  TaskSpec spec;
  /** True once its outcome is final. */
  bool ended = false;
  /** The daemon life it is assigned to; only its reports count. */
  DaemonRef holder;
  /** First attempt number of the present assignment. */
  Attempt first_attempt{1};
  /** Run time the home expects. */
  Millis expected_run_time;
  /** Assignments so far that lost an endpoint. */
  uint32_t endpoints_lost = 0;
  /** Times a holder gave it back. */
  uint32_t times_returned = 0;
  /** What is known over all assignments so far. */
  StartState state = StartState::kNotStarted;
  TaskOutcome outcome;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LEDGER_TASK_RECORD_H_
