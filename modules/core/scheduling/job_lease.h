#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_LEASE_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_LEASE_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** @file
 * Leases of jobs. A scheduler may run a job only as long as one of the daemons
 * that wait for its result confirms that it still does and that no other
 * scheduler has got the job. A receiver that is lost, cut off or has withdrawn
 * the job does not have to reach the scheduler: without a confirmation the
 * lease ends, and the runs with it.
 *
 * The leases of runs on endpoints are nested: they outlast the leases of their
 * jobs by no more than kRunEndMargin, even if the scheduler is lost meanwhile.
 */

/** Time for which a confirmation allows a scheduler to run a job. Two
 * confirmations may be lost.
 */
inline constexpr Millis kJobLease{420};

/** Lease of a job whose submission may be late. Its runs are kept, but it is
 * too short for a start, so that a confirmation has to arrive first.
 */
inline constexpr Millis kUnconfirmedJobLease{140};

/** Time after the end of its lease in which the runs of a job are stopped. The
 * leases of its endpoints are not extended beyond it.
 */
inline constexpr Millis kRunEndMargin{200};

/** Time after a confirmation by which all runs that it has allowed have ended:
 * the job's lease, the margin, and what endpoints' clocks that run 2 % slow and
 * the network add.
 */
inline constexpr Millis kRunsEndedAfter{650};

/** Lets a lease start that was confirmed at the given time, on this daemon's
 * clock, or extends it.
 */
void GrantJobLease(Scheduler& scheduler,
                   const SubmissionId& job,
                   Millis confirmed_at);

/** Extends a lease. Does nothing for a job that was never accepted here. */
void RenewJobLease(Scheduler& scheduler,
                   const SubmissionId& job,
                   Millis confirmed_at);

/** Returns the time at which a job's lease ends; zero without a lease. */
Millis GetJobLeaseEnd(const Scheduler& scheduler, const SubmissionId& job);

/** Returns true while tasks of a job may be started. */
bool MayStartTasks(const Scheduler& scheduler,
                   const SubmissionId& job,
                   Millis now);

/** Returns the end of a lease that is granted to the runs of an endpoint now.
 * It is shared by all of them, so the first job whose lease ends limits it.
 * Zero when none may be granted, because one of the runs belongs to no job that
 * was accepted here.
 */
Millis ComputeRunLeaseEnd(const Scheduler& scheduler,
                          const ManagedEndpoint& endpoint,
                          Millis now);

/** Returns true while a start on an endpoint gets a lease that lasts until the
 * next renewal.
 */
bool HasLeaseForStart(const Scheduler& scheduler,
                      const ManagedEndpoint& endpoint,
                      Millis now);

/** Returns true when no receiver has confirmed a job for so long that it is
 * given up. Time in which this process was paused does not count.
 *
 * @param lease_end when its lease has ended
 */
bool IsOrphaned(const Scheduler& scheduler, Millis lease_end, Millis now);

/** Stops the runs of jobs whose leases have ended. Their tasks go back to the
 * queue, and are started again if a receiver confirms the job later. Ends jobs
 * that no receiver has confirmed for much longer.
 */
void ReviewJobLeases(Scheduler& scheduler, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_LEASE_H_
