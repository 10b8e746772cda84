#ifndef DOGWOODFALL_MODULES_MODEL_GROUP_ROOM_H_
#define DOGWOODFALL_MODULES_MODEL_GROUP_ROOM_H_

#include <array>
#include <cstdint>

#include "model/endpoint_group.h"

namespace dogwoodfall {

/** Sizes of the tasks that GroupRoom counts, relative to the mean size. */
inline constexpr std::array<double, 3> kCountedTaskSizes = {0.5, 1.0, 1.5};

/** Free capacity of a group of endpoints by the size of the tasks that fit.
 * Complements GroupLoad, which counts tasks of mean size only.
 */
struct GroupRoom {
  EndpointGroup group;
  /** Moving average of the CPU need of a task at the group's scheduler. */
  uint32_t mean_task_millicores = 0;
  /** Numbers of tasks that fit now, one for each of kCountedTaskSizes. */
  std::array<uint32_t, kCountedTaskSizes.size()> fitting_tasks = {};
  /** CPU need of all tasks that wait in the group. */
  uint32_t waiting_millicores = 0;
  /** Capacity that the group keeps for the load that is expected within the
   * next second.
   */
  uint32_t kept_millicores = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_GROUP_ROOM_H_
