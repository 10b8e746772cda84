#ifndef DOGWOODFALL_MODULES_MODEL_TASK_ROOM_H_
#define DOGWOODFALL_MODULES_MODEL_TASK_ROOM_H_

#include <cstdint>

namespace dogwoodfall {

/** What a task occupies on an endpoint, or what an endpoint has. */
struct TaskResources {
  /** Thousandths of a core. */
  int64_t cpu_millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  friend constexpr TaskResources operator+(const TaskResources& a,
                                           const TaskResources& b) {
    return {a.cpu_millicores + b.cpu_millicores, a.memory_mb + b.memory_mb,
            a.accelerators + b.accelerators};
  }
  friend constexpr TaskResources operator-(const TaskResources& a,
                                           const TaskResources& b) {
    return {a.cpu_millicores - b.cpu_millicores, a.memory_mb - b.memory_mb,
            a.accelerators - b.accelerators};
  }
  friend constexpr bool operator==(const TaskResources& a,
                                   const TaskResources& b) {
    return a.cpu_millicores == b.cpu_millicores && a.memory_mb == b.memory_mb &&
           a.accelerators == b.accelerators;
  }
};

/** True when what is needed fits into what is free in each dimension. */
constexpr bool Fits(const TaskResources& needed, const TaskResources& free) {
  return needed.cpu_millicores <= free.cpu_millicores &&
         needed.memory_mb <= free.memory_mb &&
         needed.accelerators <= free.accelerators;
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_TASK_ROOM_H_
