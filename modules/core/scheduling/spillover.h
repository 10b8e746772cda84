#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SPILLOVER_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SPILLOVER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/scheduling/scheduler.h"
#include "model/group_load.h"

namespace dogwoodfall {

/** Computes the load of a group whose endpoints this daemon owns. */
GroupLoad ComputeGroupLoad(const Scheduler& scheduler,
                           const EndpointGroup& group,
                           Millis now);

/** Returns true when this many tasks can start in a group without waiting. */
bool HasFreeCapacityFor(const GroupLoad& load, uint32_t tasks);

/** Chooses another group for a job that has not started.
 *
 * Load may be uneven between zones or between the groups of a zone: jobs miss
 * their deadline in one group while endpoints of another are idle. A job leaves
 * its group only if it would have to wait there, because the loads of the other
 * groups are about 100 ms old. Jobs are distributed over all groups with enough
 * free capacity, because several schedulers choose by the same data.
 *
 * @param tasks number of the job's tasks that can start at once
 * @param choice a number that differs between jobs, such as a hash of the id
 * @return none when the job should stay in its own group
 */
std::optional<EndpointGroup> ChooseSpilloverGroup(
    const GroupLoad& own,
    const std::vector<GroupLoad>& others,
    uint32_t tasks,
    uint64_t choice);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SPILLOVER_H_
