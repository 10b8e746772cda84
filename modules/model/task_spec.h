#ifndef DOGWOODFALL_MODULES_MODEL_TASK_SPEC_H_
#define DOGWOODFALL_MODULES_MODEL_TASK_SPEC_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/millis.h"

namespace dogwoodfall {

/** One task as its caller declared it. */
struct TaskSpec {
  TaskId id;
  /** Name under which run times are learned. */
  std::string kind;
  /** Run time the caller expects; a hint that may be far off. */
  Millis declared_run_time;
  /** Memory the task needs, in MB. */
  int64_t declared_memory_mb = 0;
  /** Passed to the endpoint unchanged. */
  std::string payload;
  /** True when running it twice does no harm. */
  bool idempotent = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_TASK_SPEC_H_
