#ifndef DOGWOODFALL_MODULES_CORE_FLEET_ANNOUNCEMENT_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_ANNOUNCEMENT_FLOW_H_

#include <set>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/fleet/fleet_node.h"
#include "model/job_in_progress.h"
#include "ports/action.h"

namespace dogwoodfall {

/** @file
 * Schedulers announce jobs in their heartbeats that are so old that their
 * callers may send them again to any daemon. The daemons that might schedule a
 * repeat, now or after a change of owners, acknowledge them, which extends the
 * leases of the jobs (core/scheduling/job_lease.h).
 *
 * An acknowledgement counts from the sending of the heartbeat that it answers.
 * The peer remembers the job for longer, so that the runs of a job have ended
 * before a repeat is taken for a new job there.
 */

/** Age from which a job is announced. */
inline constexpr Millis kAnnounceJobAfter{700};

/** Time after the last message of a peer for which the jobs that it has
 * announced count as running there.
 */
inline constexpr Millis kAnnouncementValidity{1'100};

/** Returns the jobs that this daemon announces: those that it schedules, and
 * those that it has handed over, until their next schedulers announce them.
 */
std::vector<JobInProgress> ListAnnouncedJobs(const FleetNode& node, Millis now);

/** Returns the jobs announced in a heartbeat that are not scheduled here in
 * another group.
 */
std::vector<SubmissionId> FindAcknowledgedJobs(const FleetNode& node,
                                               const Heartbeat& heartbeat);

/** Records the jobs that a peer has acknowledged. */
void ApplyAcknowledgements(FleetNode& node, const Heartbeat& acknowledgement);

/** Extends the leases of the jobs that all schedulers of their repeats have
 * acknowledged.
 * @return true when tasks may be started that had to wait for it
 */
bool ExtendAnnouncementLeases(FleetNode& node, Millis now);

/** Adds the daemons that might schedule repeats of announced jobs and have not
 * acknowledged them lately.
 */
void AddUninformedSchedulers(const FleetNode& node,
                             Millis now,
                             std::set<DaemonId>& peers);

/** Announces a job at once that was accepted, or whose progress was received,
 * at an age at which it may be sent again soon.
 */
void AnnounceOldJob(FleetNode& node,
                    const SubmissionId& job,
                    Millis now,
                    Actions& actions);

/** Logs and counts the announced jobs that this daemon schedules as well, in
 * another group: two submissions of the same job.
 */
void ReportJobsScheduledTwice(FleetNode& node,
                              const Heartbeat& heartbeat,
                              Millis now,
                              Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_ANNOUNCEMENT_FLOW_H_
