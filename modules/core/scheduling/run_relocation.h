#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_RELOCATION_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_RELOCATION_H_

#include "base/millis.h"
#include "core/scheduling/scheduler.h"
#include "ports/action.h"

namespace dogwoodfall {

/** Stops runs that will miss their caller's deadline where they are, if all of
 * the job's such tasks would meet it on faster endpoints with free capacity.
 *
 * This answers jobs that turn out to be larger than declared after they were
 * started on slow endpoints: on deployments whose endpoints differ in speed,
 * most of the largest jobs would otherwise be lost. A job is moved only as a
 * whole, since it is of no use to its caller until all of its tasks are done.
 */
void RelocateRuns(Scheduler& scheduler, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_RELOCATION_H_
