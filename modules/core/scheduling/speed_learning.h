#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SPEED_LEARNING_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SPEED_LEARNING_H_

#include <cstdint>

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** The run time to expect of a step's tasks on an endpoint of slowness 1: what
 * the route and the caller let expect, corrected by the tasks of the job that
 * have ended or are well on their way.
 *
 * @param except a run that is not to count, or null
 */
Millis TaskTimeOf(const Scheduler& scheduler,
                  const ScheduledJob& job,
                  uint32_t step,
                  const RunKey* except);

/** Learns the route's run times and the endpoints' speeds from a job whose
 * tasks have all ended: tasks of a step take about as long as each other, so
 * what they differ by is the speed of the endpoints.
 */
void LearnFromJob(Scheduler& scheduler, const ScheduledJob& job);

/** Learns from a run that lags behind that its endpoint has turned slow. */
void LearnFromLaggard(ManagedEndpoint& endpoint, double times_usual);

/** Learns that an endpoint failed a run. */
void LearnFromFailure(ManagedEndpoint& endpoint);

/** Learns that an endpoint did not fail a run. */
void LearnFromSuccess(ManagedEndpoint& endpoint);

/** Lets endpoints that were given up as slow be tried again after a while, and
 * finds out how fast the fast ones are.
 */
void ReviewSpeeds(Scheduler& scheduler, Millis now);

/** Run time to expect of a run in all, from the share of its work that is
 * done, in ms.
 */
double ProjectedTime(const Run& run, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SPEED_LEARNING_H_
