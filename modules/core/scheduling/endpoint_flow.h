#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_FLOW_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Time after which all runs started by an unreachable owner have ended: the
 * longest lease that endpoints grant (1,000 ms), measured by a clock that runs
 * 2 % slow, plus a margin.
 */
inline constexpr Millis kMaxLease{1'050};

/** Takes ownership of an endpoint. An endpoint that this daemon already owns is
 * only updated. After a change of ownership the endpoint is reconciled (its
 * runs are listed) before anything is started on it.
 */
void TakeOwnershipOfEndpoint(Scheduler& scheduler,
                             const EndpointEntry& entry,
                             const EndpointGroup& group,
                             uint64_t fencing_token,
                             Millis now,
                             Actions& actions);

/** Applies a changed store entry of an endpoint that this daemon owns. */
void UpdateEndpoint(Scheduler& scheduler,
                    const EndpointEntry& entry,
                    Millis now,
                    Actions& actions);

/** Handles the removal of an endpoint's entry from the store. No new runs are
 * started there; the endpoint is released once its runs have ended.
 */
void DeregisterEndpoint(Scheduler& scheduler,
                        const EndpointId& id,
                        Millis now,
                        Actions& actions);

/** Stops managing an endpoint, for example because another daemon owns it. */
void ReleaseEndpoint(Scheduler& scheduler, const EndpointId& id, Millis now);

/** Returns true while an endpoint is being reconciled and runs of its previous
 * owner may still be active there.
 */
bool MayHaveUnlistedRuns(const ManagedEndpoint& endpoint, Millis now);

/** Returns true while any endpoint of the group may have unlisted runs. */
bool HasReconcilingEndpoint(const Scheduler& scheduler,
                            const EndpointGroup& group,
                            Millis now);

/** Reconciles an endpoint again because another daemon reported a run there
 * that is not known here. This is needed even if the endpoint has already been
 * reconciled: a restarted endpoint has lost its fencing token, so the previous
 * owner may have started runs on it since.
 */
void RestartReconciliation(Scheduler& scheduler,
                           ManagedEndpoint& endpoint,
                           Millis now,
                           Actions& actions);

/** Performs the periodic work on all endpoints: sends renewals that are due,
 * retries failed stops, stops overdue and unclaimed runs, and expires leases.
 * Also updates the speeds of the endpoints, ends infeasible jobs and starts
 * queued tasks.
 */
void ReviewEndpoints(Scheduler& scheduler, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_FLOW_H_
