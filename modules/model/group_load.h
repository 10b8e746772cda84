#ifndef DOGWOODFALL_MODULES_MODEL_GROUP_LOAD_H_
#define DOGWOODFALL_MODULES_MODEL_GROUP_LOAD_H_

#include <cstdint>

#include "model/endpoint_group.h"

namespace dogwoodfall {

/** How much room a group of endpoints has, in tasks of the usual size. */
struct GroupLoad {
  EndpointGroup group;
  /** Tasks that fit while nothing runs. */
  uint32_t task_capacity = 0;
  /** Tasks that fit now. */
  uint32_t free_task_capacity = 0;
  /** Tasks that wait for room. */
  uint32_t tasks_waiting = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_GROUP_LOAD_H_
