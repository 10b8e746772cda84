#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_EJECTION_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_EJECTION_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** @file
 * Keeps work away from endpoints that fail what they start.
 *
 * Answers an endpoint that fails fast: it always has room, so without this it
 * draws most of the load that the others can't take, and jobs use up their
 * attempts there. An ejected endpoint gets nothing for a pause, then one task
 * at a time until one ends well; the pause doubles while it goes on failing.
 * Its own word on its health is not asked: it may be false either way.
 */

/** Notes that an endpoint failed a run. Jobs that fail wherever they run must
 * not eject sound endpoints, so a job counts once, against the endpoint where
 * it failed first.
 */
void NoteFailedRun(Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   const JobTask& task,
                   Millis now,
                   Actions& actions);

/** Notes that a run ended well. */
void NoteGoodRun(ManagedEndpoint& endpoint, Actions& actions);

/** True when an endpoint may get a task as far as its failures go. */
bool IsTrustedWith(const ManagedEndpoint& endpoint, const TaskProgress& task);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_EJECTION_H_
