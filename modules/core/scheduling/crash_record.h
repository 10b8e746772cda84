#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_CRASH_RECORD_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_CRASH_RECORD_H_

#include <vector>

#include "base/millis.h"
#include "model/endpoint_incarnation.h"

namespace dogwoodfall {

/** The endpoints that were lost while they ran a task, each of which the task
 * may have crashed. It outlives the job, whose caller may send it again.
 */
struct CrashRecord {
  std::vector<EndpointIncarnation> endpoints;
  /** True once the task may not be started any more. */
  bool is_given_up = false;
  Millis updated_at;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_CRASH_RECORD_H_
