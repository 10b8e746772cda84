#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_LEASE_ENDS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_LEASE_ENDS_H_

#include "base/millis.h"

namespace dogwoodfall {

/** The two ends of a job's lease; the earlier one counts (job_lease.h). */
struct JobLeaseEnds {
  /** End of the lease that its receivers confirm. */
  Millis confirmed_until;
  /** End of the lease that the schedulers of its repeats acknowledge. */
  Millis announced_until;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_LEASE_ENDS_H_
