#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_RUNS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_RUNS_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Sets the status of an endpoint and logs a change.
 *
 * @param cause short reason for the log
 */
void SetEndpointStatus(ManagedEndpoint& endpoint,
                       EndpointStatus status,
                       const char* cause,
                       Millis now,
                       Actions& actions);

/** Unanswered commands in a row after which an endpoint is unresponsive. */
inline constexpr uint32_t kUnresponsiveThreshold = 2;

/** Returns true when an endpoint can't report the ends of its runs. Their lease
 * is not renewed then, and they count as lost once it has expired. An endpoint
 * that is being reconciled keeps its status meanwhile, because its runs still
 * have to be listed.
 */
bool IsOutOfContact(const ManagedEndpoint& endpoint);

/** Returns the endpoint's entry with the start of the incarnation that answers
 * here. The entry in the store may be of another one.
 */
EndpointEntry MakeIncarnationEntry(const ManagedEndpoint& endpoint);

/** Returns true while a run that was found on the endpoint is active and no job
 * of this daemon has claimed it, whatever its RunState.
 */
bool HasUnclaimedRun(const ManagedEndpoint& endpoint);

/** Returns true when a run may be active on the endpoint: its start was sent,
 * or it was found there.
 */
bool HasSentRun(const ManagedEndpoint& endpoint);

/** Removes a run that has ended and frees its resources. */
void RemoveRun(ManagedEndpoint& endpoint, const RunKey& key, Millis now);

/** Removes all runs of an endpoint and requeues their tasks. Called when the
 * runs have certainly ended although the endpoint has not reported it.
 *
 * @param cause short reason for the log
 */
void MarkAllRunsLost(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     const char* cause,
                     Millis now,
                     Actions& actions);

/** Drops what is known of the clock and of the ended runs of an endpoint's
 * incarnation, as the next one counts anew.
 *
 * @param since when the first command was sent that the next one may answer
 */
void ForgetIncarnation(ManagedEndpoint& endpoint, Millis since);

/** Handles a renewal reply that shows that the endpoint has restarted: resets
 * the end counter and what was learned of the endpoint. Runs from before the
 * restart have ended, but some may have been started since, so the runs in the
 * reply decide which ones are kept.
 */
void HandleEndpointRestart(ManagedEndpoint& endpoint,
                           int64_t started_at_ms,
                           Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_RUNS_H_
