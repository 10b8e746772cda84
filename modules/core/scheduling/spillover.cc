#include "core/scheduling/spillover.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/scheduling/placement.h"
#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

/** Free capacity, in tasks, that another group must have beyond the job's
 * tasks. It allows for tasks started there since its last heartbeat.
 */
constexpr int64_t kFreeCapacityMargin = 2;
/** Minimum difference in pressure for moving a job to a group that is also
 * full. Tasks take about 250 ms, so this shortens the wait by about 60 ms, the
 * slack of the shortest jobs.
 */
constexpr double kMinPressureDifference = 0.25;

int64_t ComputeSpareCapacity(const GroupLoad& load) {
  return static_cast<int64_t>(load.free_task_capacity) -
         static_cast<int64_t>(load.tasks_waiting);
}

/** Computes the number of waiting tasks relative to the capacity of a group;
 * negative while the group has free capacity.
 */
double ComputePressure(const GroupLoad& load) {
  return -static_cast<double>(ComputeSpareCapacity(load)) /
         static_cast<double>(std::max(load.task_capacity, 1U));
}

/** Adds the tasks that fit to a sum, which stays at the largest number when it
 * can't hold more.
 */
uint32_t AddTasks(uint32_t sum, int64_t millicores, double task_millicores) {
  const double tasks =
      std::floor(static_cast<double>(std::max<int64_t>(millicores, 0)) /
                 std::max(task_millicores, 1.0));
  constexpr double kMaxSum = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(
      std::min(static_cast<double>(sum) + tasks, kMaxSum));
}

}  // namespace

GroupLoad ComputeGroupLoad(const Scheduler& scheduler,
                           const EndpointGroup& group,
                           Millis now) {
  GroupLoad load;
  load.group = group;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    const bool is_usable = endpoint.group == group &&
                           AcceptsWork(scheduler, endpoint, now) &&
                           !endpoint.is_ejected &&
                           endpoint.slowness < kMaxUsableSlownessFactor *
                                                   scheduler.median_slowness;
    if (!is_usable)
      continue;
    const int64_t capacity_millicores = endpoint.entry.capacity.cpu_millicores;
    load.task_capacity = AddTasks(load.task_capacity, capacity_millicores,
                                  scheduler.mean_task_millicores);
    load.free_task_capacity =
        AddTasks(load.free_task_capacity,
                 capacity_millicores - endpoint.used.cpu_millicores,
                 scheduler.mean_task_millicores);
  }
  for (const JobOrderKey& key : scheduler.queue) {
    const ScheduledJob& job = scheduler.jobs.at(key.second);
    if (job.group == group)
      load.tasks_waiting += job.tasks_queued;
  }
  return load;
}

bool HasFreeCapacityFor(const GroupLoad& load, uint32_t tasks) {
  return ComputeSpareCapacity(load) >= static_cast<int64_t>(tasks);
}

std::optional<EndpointGroup> ChooseSpilloverGroup(
    const GroupLoad& own,
    const std::vector<GroupLoad>& others,
    uint32_t tasks,
    uint64_t choice) {
  if (HasFreeCapacityFor(own, tasks))
    return std::nullopt;
  const auto needed = static_cast<int64_t>(tasks);
  int64_t spare_capacity = 0;
  for (const GroupLoad& other : others) {
    if (ComputeSpareCapacity(other) >= needed + kFreeCapacityMargin)
      spare_capacity += ComputeSpareCapacity(other);
  }
  if (spare_capacity > 0) {
    auto remaining =
        static_cast<int64_t>(choice % static_cast<uint64_t>(spare_capacity));
    for (const GroupLoad& other : others) {
      if (ComputeSpareCapacity(other) < needed + kFreeCapacityMargin)
        continue;
      remaining -= ComputeSpareCapacity(other);
      if (remaining < 0)
        return other.group;
    }
  }
  const auto least_loaded = std::min_element(
      others.begin(), others.end(), [](const GroupLoad& a, const GroupLoad& b) {
        return ComputePressure(a) < ComputePressure(b);
      });
  if (least_loaded == others.end() || least_loaded->task_capacity == 0 ||
      ComputePressure(own) - ComputePressure(*least_loaded) <
          kMinPressureDifference)
    return std::nullopt;
  return least_loaded->group;
}

}  // namespace dogwoodfall
