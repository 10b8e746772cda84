#ifndef DOGWOODFALL_MODULES_MODEL_GROUP_LOAD_H_
#define DOGWOODFALL_MODULES_MODEL_GROUP_LOAD_H_

#include <cstdint>

#include "model/endpoint_group.h"

namespace dogwoodfall {

/** Load of a group of endpoints. Capacities are numbers of average tasks: tasks
 * with the CPU need that is the moving average at the group's scheduler.
 */
struct GroupLoad {
  EndpointGroup group;
  /** Tasks that fit when nothing runs. */
  uint32_t task_capacity = 0;
  /** Tasks that fit now. */
  uint32_t free_task_capacity = 0;
  /** Tasks that wait for free capacity. */
  uint32_t tasks_waiting = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_GROUP_LOAD_H_
