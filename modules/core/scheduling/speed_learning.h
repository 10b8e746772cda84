#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SPEED_LEARNING_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SPEED_LEARNING_H_

#include <cstdint>
#include <string>

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Endpoints that are slower than the median by more than this factor get no
 * work with a deadline, so that no new run times are learned from them, and do
 * not count as capacity. Their slowness decays towards this limit instead.
 */
inline constexpr double kMaxUsableSlownessFactor = 2.5;

/** Minimum percentage of the work for projecting the run time. */
inline constexpr int kMinProjectionPercent = 15;

/** Returns the minimum percentage of the work for projecting a run time: less
 * than kMinProjectionPercent where long jobs are told apart, as they have to be
 * recognised early.
 */
int GetMinProjectionPercent(const Scheduler& scheduler);

/** Estimates the run time of a step's tasks on an endpoint of slowness 1. The
 * estimate for the route is corrected by the tasks of the step that have ended
 * or have made enough progress.
 *
 * @param excluded_run a run to leave out, or null
 */
Millis EstimateStepRunTime(const Scheduler& scheduler,
                           const ScheduledJob& job,
                           uint32_t step,
                           const RunKey* excluded_run);

/** Updates the run times of the route and the slowness of the endpoints from a
 * job whose tasks have all ended. Tasks of a step take about equally long, so
 * differences between them are attributed to the endpoints.
 */
void LearnFromJob(Scheduler& scheduler, const ScheduledJob& job, Millis now);

/** Adds the projected run time of a job that was abandoned to the distribution
 * of its route. Does nothing when no run of it shows its speed.
 */
void LearnFromAbandonedJob(Scheduler& scheduler, const ScheduledJob& job);

/** Records that a task of a route was started or that a job of it ended. */
void RecordRouteActivity(Scheduler& scheduler,
                         const std::string& route,
                         Millis now);

/** Forgets the run times of a route, and the slowness of idle endpoints, when
 * jobs of the route are refused while none has run for a while.
 *
 * This answers the load after an outage: run times that were learned while
 * endpoints or daemons hung are far too long, all jobs are refused for them,
 * and no job runs that would correct them.
 *
 * @return true when something was forgotten
 */
bool ForgetUnverifiedTimes(Scheduler& scheduler,
                           const TransientJob& job,
                           Millis now,
                           Actions& actions);

/** Increases the slowness of an endpoint after a run on it was found overdue.
 *
 * @param slowdown projected run time relative to the expected one
 */
void LearnFromStraggler(ManagedEndpoint& endpoint, double slowdown);

/** Updates the failure share of an endpoint after a failed run. */
void LearnFromFailure(ManagedEndpoint& endpoint);

/** Updates the failure share of an endpoint after a successful run. */
void LearnFromSuccess(ManagedEndpoint& endpoint);

/** Updates the load and the fast and median slowness of the scheduler, and lets
 * failure shares and very high slowness values decay.
 */
void UpdateSpeeds(Scheduler& scheduler, Millis now);

/** Projects the total run time of a run, in ms, from the share of its work that
 * was done at the last report of its progress.
 */
double ProjectRunTime(const Run& run);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SPEED_LEARNING_H_
