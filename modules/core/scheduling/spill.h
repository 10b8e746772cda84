#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SPILL_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SPILL_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/scheduling/scheduler.h"
#include "model/group_load.h"

namespace dogwoodfall {

/** The room of a group that this daemon owns. */
GroupLoad ComputeGroupLoad(const Scheduler& scheduler,
                           const EndpointGroup& group,
                           Millis now);

/** True when tasks can start in a group without waiting. */
bool HasFreeCapacityFor(const GroupLoad& load, uint32_t tasks);

/** Chooses another group for a job that has not started, or none when its own
 * one is as good.
 *
 * Answers load that is uneven between zones, or between the groups of a zone:
 * jobs wait and miss their limit in one while endpoints of another are free. A
 * job leaves only when it would have to wait, as word of other groups is some
 * 100 ms old; the choice is spread over all groups with room, since several
 * schedulers have the same word.
 *
 * @param tasks the job's tasks that can start at once
 * @param choice a number that differs from job to job
 */
std::optional<EndpointGroup> ChooseSpilloverGroup(
    const GroupLoad& own,
    const std::vector<GroupLoad>& others,
    uint32_t tasks,
    uint64_t choice);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SPILL_H_
