#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_FLOW_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Time after which what an unreachable owner started is over: the longest
 * lease that endpoints grant (1,000 ms), on a clock that is 2 % slow.
 */
inline constexpr Millis kLongestLease{1'050};

/** Takes over an endpoint, or renews what is known of one. Looks at what runs
 * there before anything is started.
 */
void TakeOwnershipOfEndpoint(Scheduler& scheduler,
                             const EndpointEntry& entry,
                             const EndpointGroup& group,
                             uint64_t fencing_token,
                             Millis now,
                             Actions& actions);

/** Notes what an endpoint now says of itself; it keeps its owner. */
void UpdateEndpoint(Scheduler& scheduler,
                    const EndpointEntry& entry,
                    Millis now,
                    Actions& actions);

/** Notes that the endpoint's item is gone: nothing new starts there. */
void DeregisterEndpoint(Scheduler& scheduler,
                        const EndpointId& id,
                        Millis now,
                        Actions& actions);

/** Stops giving orders to an endpoint that another daemon owns now. */
void ReleaseEndpoint(Scheduler& scheduler, const EndpointId& id, Millis now);

/** True while a look at an endpoint taken over is still to come and runs of
 * its former owner may be going on there.
 */
bool IsLooking(const Scheduler& scheduler,
               const EndpointGroup& group,
               Millis now);

/** Sees to it that an endpoint is looked at after word that something runs
 * there that is not known here. One that has been looked at is looked at again:
 * in a new life it has forgotten its fencing token, and a former owner may have
 * used it.
 */
void AwaitLook(Scheduler& scheduler,
               ManagedEndpoint& endpoint,
               Millis now,
               Actions& actions);

/** Sends renewals that are due and looks for runs that are overdue. */
void ReviewEndpoints(Scheduler& scheduler, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_FLOW_H_
