#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_RUNS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_RUNS_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Notes whether an endpoint may get work, and logs a change. */
void SetEndpointStatus(ManagedEndpoint& endpoint,
                       EndpointStatus status,
                       const char* cause,
                       Millis now,
                       Actions& actions);

/** True while something of a former owner runs that no job here wants. */
bool HasForeignRun(const ManagedEndpoint& endpoint);

/** True while something runs that belongs to a job here. */
bool HasOwnRun(const ManagedEndpoint& endpoint);

/** Forgets a run that is over and gives its room back. */
void DropRun(ManagedEndpoint& endpoint, const RunKey& key);

/** All runs of an endpoint are over without a listed end. */
void LoseAllRuns(Scheduler& scheduler,
                 ManagedEndpoint& endpoint,
                 const char* cause,
                 Millis now,
                 Actions& actions);

/** Another life of the endpoint answers a renewal: its counts start anew. Runs
 * of the former life are over, but those that were started since are listed, so
 * the list decides which ones go on.
 */
void MeetNewLife(ManagedEndpoint& endpoint,
                 int64_t started_at_ms,
                 Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_RUNS_H_
