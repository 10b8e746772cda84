#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_REVIEW_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_REVIEW_H_

#include <string>

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Run times on a kind of instance over the declared ones; 1 until learned. */
double KindSlowness(const Scheduler& scheduler, const std::string& kind);

/** Slowness of the fastest kind of instance that is known. */
double FastestSlowness(const Scheduler& scheduler);

/** Learns the run time of a route and the speed of an endpoint. */
void LearnFromRun(Scheduler& scheduler,
                  ManagedEndpoint& endpoint,
                  const JobTask& task,
                  const Run& run,
                  Millis now);

/** Learns that an endpoint failed a run. */
void LearnFromFailure(ManagedEndpoint& endpoint);

/** Stops runs that take far longer than expected, so that their tasks can run
 * elsewhere.
 *
 * Answers endpoints that hang or have turned slow while they still answer.
 */
void StopOverdueRuns(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     Millis now,
                     Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_REVIEW_H_
