#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_COMMANDS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_COMMANDS_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Lease of the runs on an endpoint: they end when the scheduler has not
 * renewed it for this long. Callers resubmit a job 1,300 ms after a loss, and
 * the runs of a dead daemon must have ended well before that. A slow daemon
 * must still fit several renewals into the lease.
 */
inline constexpr Millis kRunLease{500};

/** Places a run of a task on an endpoint and starts it as soon as the
 * endpoint's clock has been read anew. The lease of a start is a time on that
 * clock.
 *
 * @param expected_run_time expected run time on an endpoint of slowness 1
 */
void SendStart(Scheduler& scheduler,
               ManagedEndpoint& endpoint,
               const ScheduledJob& job,
               const JobTask& task,
               Millis expected_run_time,
               Millis now,
               Actions& actions);

/** Sends the starts that wait until the endpoint's clock is read, or reads it.
 * Returns tasks to the queue that can't be started there any more.
 */
void SendAwaitingStarts(Scheduler& scheduler,
                        ManagedEndpoint& endpoint,
                        Millis now,
                        Actions& actions);

/** Stops a run. Does nothing when the run is already being stopped. */
void SendStop(Scheduler& scheduler,
              ManagedEndpoint& endpoint,
              const RunKey& key,
              Millis now,
              Actions& actions);

/** Sends failed stops again after the retry backoff. */
void RetryFailedStops(Scheduler& scheduler,
                      ManagedEndpoint& endpoint,
                      Millis now,
                      Actions& actions);

/** Sends a renewal unless one is pending or none is needed. Renewals are needed
 * while an endpoint has runs, has not answered, is being reconciled or is
 * unresponsive, or while its clock is not known.
 */
void EnsureRenewal(Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   Millis now,
                   Actions& actions);

/** Sends a renewal that is answered without waiting, even while another one is
 * pending.
 */
void PollEndpoint(Scheduler& scheduler,
                  ManagedEndpoint& endpoint,
                  Millis now,
                  Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_COMMANDS_H_
