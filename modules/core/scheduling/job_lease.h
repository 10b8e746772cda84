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
 * A caller may send a job again while its first receiver still waits, as that
 * one may not notice a broken connection. So the lease also ends before the
 * age at which a repeat can start elsewhere, unless all daemons that might
 * schedule the repeat have acknowledged that they know of the job.
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

/** Minimum time from the sending of a job to the arrival of its repeat. */
inline constexpr Millis kMinRepeatAge{1'300};

/** Time from the end of a job's lease to the end of all of its runs. */
inline constexpr Millis kRunsEndedAfterLease = kRunsEndedAfter - kJobLease;

/** Age at which the lease of a job ends whose announcement has not been
 * acknowledged.
 */
inline constexpr Millis kUnannouncedJobLease =
    kMinRepeatAge - kRunsEndedAfterLease;

/** Longest lease of a job that was handed over, until its next scheduler's
 * announcement is acknowledged. The previous one announces it meanwhile.
 */
inline constexpr Millis kHandedOverJobLease{150};

/** Lets a lease start that was confirmed at the given time, on this daemon's
 * clock, or extends it.
 */
void GrantJobLease(Scheduler& scheduler,
                   const SubmissionId& job,
                   Millis confirmed_at);

/** Extends a lease. Does nothing for a job that was never accepted here, or
 * that has ended while runs of it may be active.
 */
void RenewJobLease(Scheduler& scheduler,
                   const SubmissionId& job,
                   Millis confirmed_at);

/** Lets a job that was received at the given time, on this daemon's clock, run
 * up to an age of kUnannouncedJobLease.
 */
void GrantAnnouncementLease(Scheduler& scheduler,
                            const SubmissionId& job,
                            Millis received_at);

/** Extends a job's lease as the schedulers of its repeats know of the job, or
 * as its previous scheduler still announces it. Does nothing for a job that was
 * never accepted here.
 */
void RenewAnnouncementLease(Scheduler& scheduler,
                            const SubmissionId& job,
                            Millis announced_until);

/** Returns the time at which a job's lease ends; zero without a lease. */
Millis GetJobLeaseEnd(const Scheduler& scheduler, const SubmissionId& job);

/** Returns the time by which all runs of a job have ended that were started
 * here, also after the end of the job; zero without a lease.
 */
Millis GetRunsEndedAt(const Scheduler& scheduler, const SubmissionId& job);

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
 * next renewal, and the endpoint's present lease doesn't let the run outlast an
 * announcement of its job.
 */
bool HasLeaseForStart(const Scheduler& scheduler,
                      const ManagedEndpoint& endpoint,
                      const SubmissionId& job,
                      Millis now);

/** Returns true when no receiver has confirmed a job for so long that it is
 * given up. Time in which this process was paused does not count.
 *
 * @param confirmed_until when its receivers' lease has ended
 */
bool IsOrphaned(const Scheduler& scheduler, Millis confirmed_until, Millis now);

/** Stops the runs of jobs whose leases have ended. Their tasks go back to the
 * queue, and are started again if a receiver confirms the job later. Ends jobs
 * that no receiver has confirmed for much longer, and jobs that may be sent
 * again and are not known to the schedulers of their repeats.
 */
void ReviewJobLeases(Scheduler& scheduler, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_LEASE_H_
