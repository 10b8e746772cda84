#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_ORDERS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_ORDERS_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Longest time that an endpoint goes on without word from its scheduler. A
 * caller sends a job again 1,300 ms after a loss; what a dead daemon started
 * must have ended well before, and a slow daemon needs several renewals in it.
 */
inline constexpr Millis kRunLease{500};

/** Starts a run of a task.
 *
 * @param expected run time to expect on an endpoint of slowness 1
 */
void OrderStart(Scheduler& scheduler,
                ManagedEndpoint& endpoint,
                const ScheduledJob& job,
                const JobTask& task,
                Millis expected,
                Millis now,
                Actions& actions);

/** Stops a run; does nothing when it is being stopped already. */
void OrderStop(Scheduler& scheduler,
               ManagedEndpoint& endpoint,
               const RunKey& run,
               Millis now,
               Actions& actions);

/** Sends stops again that failed a while ago. */
void RepeatStops(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 Millis now,
                 Actions& actions);

/** Keeps one renewal under way wherever something runs or is to be learned. */
void EnsureRenewal(Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   Millis now,
                   Actions& actions);

/** Asks at once what runs on an endpoint, also while a renewal waits there. */
void LookAtOnce(Scheduler& scheduler,
                ManagedEndpoint& endpoint,
                Millis now,
                Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_ORDERS_H_
