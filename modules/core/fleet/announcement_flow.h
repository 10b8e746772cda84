#ifndef DOGWOODFALL_MODULES_CORE_FLEET_ANNOUNCEMENT_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_ANNOUNCEMENT_FLOW_H_

#include <vector>

#include "base/millis.h"
#include "core/fleet/fleet_node.h"
#include "model/job_in_progress.h"
#include "ports/action.h"

namespace dogwoodfall {

/** @file
 * Schedulers announce jobs in their heartbeats that are so old that their
 * callers may send them again to any daemon.
 */

/** Age from which a job is announced. */
inline constexpr Millis kAnnounceJobAfter{700};

/** Returns the jobs that this daemon announces. */
std::vector<JobInProgress> ListAnnouncedJobs(const FleetNode& node, Millis now);

/** Logs and counts the announced jobs that this daemon schedules as well, in
 * another group: two submissions of the same job.
 */
void ReportJobsScheduledTwice(FleetNode& node,
                              const Heartbeat& heartbeat,
                              Millis now,
                              Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_ANNOUNCEMENT_FLOW_H_
