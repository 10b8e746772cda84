#include "core/dispatch/queued_task.h"

namespace dogwoodfall {

TaskKey KeyOf(const QueuedTask& task) {
  return {KeyOf(task.customer, task.submission), task.task.id};
}

}  // namespace dogwoodfall
