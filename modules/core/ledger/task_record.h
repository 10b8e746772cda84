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

/** State of a task at its home. */
struct TaskRecord {
  TaskSpec spec;
  /** True once its outcome is final. */
  bool ended = false;
  /** The incarnation it is assigned to. Reports of others are ignored. */
  DaemonRef holder;
  /** First attempt number of the current assignment. */
  Attempt first_attempt{1};
  Millis expected_run_time;
  /** Number of assignments that lost an endpoint or the daemon. */
  uint32_t endpoints_lost = 0;
  /** Number of times a holder has returned it. */
  uint32_t times_returned = 0;
  /** Combined start state of all assignments so far. */
  StartState state = StartState::kNotStarted;
  TaskOutcome outcome;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LEDGER_TASK_RECORD_H_
