#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_PROJECTION_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_PROJECTION_H_

#include <vector>

#include "base/millis.h"
#include "core/scheduling/managed_endpoint.h"
#include "model/task_resources.h"

namespace dogwoodfall {

/** Resources that a run is expected to free. */
struct ProjectedEnd {
  Millis at;
  TaskResources resources;
};

/** Returns when a run is expected to end, from its reported progress or else
 * from its expected run time; later than now in any case.
 */
Millis ProjectRunEnd(const ManagedEndpoint& endpoint,
                     const Run& run,
                     Millis now);

/** Returns the projected ends of all runs of an endpoint, in order of time. */
std::vector<ProjectedEnd> ProjectRunEnds(const ManagedEndpoint& endpoint,
                                         Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_PROJECTION_H_
