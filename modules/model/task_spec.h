#ifndef DOGWOODFALL_MODULES_MODEL_TASK_SPEC_H_
#define DOGWOODFALL_MODULES_MODEL_TASK_SPEC_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/millis.h"

namespace dogwoodfall {

/** One task as declared by its caller. */
struct TaskSpec {
  TaskId id;
  /** Name under which run times are recorded for estimates. */
  std::string kind;
  /** Run time that the caller expects; a hint that may be far off. */
  Millis declared_run_time;
  int64_t declared_memory_mb = 0;
  /** Passed to the endpoint unchanged. */
  std::string payload;
  /** True when running the task more than once does no harm. */
  bool idempotent = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_TASK_SPEC_H_
