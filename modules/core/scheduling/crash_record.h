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
  /** True while the task may not be started. */
  bool is_given_up = false;
  /** When it may be started again; zero if it was never given up. */
  Millis given_up_until;
  /** When an endpoint was added, or the job was last sent again. */
  Millis updated_at;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_CRASH_RECORD_H_
