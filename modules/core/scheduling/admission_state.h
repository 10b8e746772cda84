#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_STATE_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_STATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"
#include "base/millis.h"
#include "core/scheduling/served_share.h"

namespace dogwoodfall {

/** What admission has learned of the load in the last seconds. */
struct AdmissionState {
  /** Zones of the daemons that may receive jobs. */
  std::map<DaemonId, ZoneId> daemon_zones;
  std::map<ShareKey, ServedShare> shares;
  /** Processor time of a job, in core-milliseconds, that one in ten of its
   * route exceeds.
   */
  std::map<std::string, double> large_job_sizes;
  /** Moving average of the tasks started in a second. */
  double starts_per_s = 0;
  /** SchedulingCounters::starts at starts_counted_at. */
  uint64_t counted_starts = 0;
  Millis starts_counted_at;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ADMISSION_STATE_H_
