#ifndef DOGWOODFALL_MODULES_CORE_FLEET_PENDING_CANCELLATION_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_PENDING_CANCELLATION_H_

#include <set>

#include "base/ids.h"
#include "base/millis.h"

namespace dogwoodfall {

/** A caller's request to cancel a job that was forwarded to the other daemons.
 */
struct PendingCancellation {
  CallerToken caller;
  SubmissionId job;
  /** Daemons that have not answered yet. */
  std::set<DaemonId> awaited;
  /** When the caller is answered without them. */
  Millis deadline;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_PENDING_CANCELLATION_H_
