#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SPILLOVER_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SPILLOVER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/scheduling/scheduler.h"
#include "model/group_load.h"
#include "model/group_room.h"

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

/** Chooses another group when none has enough free capacity: the one with the
 * shortest queue, if it is much shorter than the own one.
 */
std::optional<EndpointGroup> ChooseLessLoadedGroup(
    const GroupLoad& own,
    const std::vector<GroupLoad>& others);

// With SchedulingOptions::packing, jobs go where tasks of their size fit. Tasks
// of mean size may fit a group in large numbers while no larger one does, and
// the other way round.

/** Computes the free capacity of a group whose endpoints this daemon owns, and
 * how much of it the group keeps for the expected rise of its load.
 */
GroupRoom ComputeGroupRoom(const Scheduler& scheduler,
                           const EndpointGroup& group,
                           Millis now);

/** Estimates how many tasks of a size fit a group now. */
uint32_t CountFittingTasks(const GroupRoom& room, int64_t task_millicores);

/** Returns true when the initial tasks of a job can start in a group of this
 * daemon without waiting.
 */
bool HasRoomForJob(const Scheduler& scheduler,
                   const EndpointGroup& group,
                   const TransientJob& job,
                   Millis now);

/** Chooses a group in which the tasks of a job fit, besides those that wait
 * there and the capacity that the group keeps. Jobs are distributed over these
 * groups in proportion to their spare capacity, as in ChooseSpilloverGroup().
 *
 * @param task_millicores CPU need of the largest task
 * @return none when the tasks fit in no group
 */
std::optional<EndpointGroup> ChooseGroupWithRoom(
    const std::vector<GroupRoom>& others,
    uint32_t tasks,
    int64_t task_millicores,
    uint64_t choice);

/** Counts tasks that were sent to a group as waiting there, until the next
 * heartbeat of its owner.
 */
void CountSentTasks(GroupRoom& room, uint32_t tasks, int64_t task_millicores);

/** Updates the trends of the loads of all groups of this daemon. */
void UpdateLoadTrends(Scheduler& scheduler, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SPILLOVER_H_
