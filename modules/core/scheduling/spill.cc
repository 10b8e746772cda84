#include "core/scheduling/spill.h"

#include <algorithm>
#include <cmath>

#include "core/scheduling/placement.h"

namespace dogwoodfall {
namespace {

/** Room that another group must have beyond the job's tasks, in tasks: what it
 * may have started since its last heartbeat.
 */
constexpr int64_t kSpareMargin = 2;
/** Difference of waiting work, as a share of all the room, from which on a job
 * leaves for a group that is full as well. Tasks take some 250 ms, so this is a
 * wait shorter by 60 ms, the slack of the shortest jobs.
 */
constexpr double kWorthLeaving = 0.25;
/** Endpoints this much slower than the usual one count as no room. */
constexpr double kTooSlow = 2.5;

int64_t SpareOf(const GroupLoad& load) {
  return static_cast<int64_t>(load.free_task_capacity) -
         static_cast<int64_t>(load.tasks_waiting);
}

/** Waiting work over all the room; negative while there is room. */
double PressureOf(const GroupLoad& load) {
  return -static_cast<double>(SpareOf(load)) /
         static_cast<double>(std::max(load.task_capacity, 1U));
}

uint32_t TasksIn(int64_t millicores, double task_millicores) {
  return static_cast<uint32_t>(
      std::floor(static_cast<double>(std::max<int64_t>(millicores, 0)) /
                 std::max(task_millicores, 1.0)));
}

}  // namespace

GroupLoad ComputeGroupLoad(const Scheduler& scheduler,
                           const EndpointGroup& group,
                           Millis now) {
  GroupLoad load;
  load.group = group;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    const bool is_usable =
        endpoint.group == group && TakesWork(endpoint, now) &&
        !endpoint.is_on_trial &&
        endpoint.slowness < kTooSlow * scheduler.usual_slowness;
    if (!is_usable)
      continue;
    const int64_t all = endpoint.entry.capacity.cpu_millicores;
    load.task_capacity += TasksIn(all, scheduler.usual_task_millicores);
    load.free_task_capacity += TasksIn(all - endpoint.used.cpu_millicores,
                                       scheduler.usual_task_millicores);
  }
  for (const JobOrderKey& key : scheduler.queue) {
    const ScheduledJob& job = scheduler.jobs.at(key.second);
    if (job.group == group)
      load.tasks_waiting += job.tasks_queued;
  }
  return load;
}

bool HasFreeCapacityFor(const GroupLoad& load, uint32_t tasks) {
  return SpareOf(load) >= static_cast<int64_t>(tasks);
}

std::optional<EndpointGroup> ChooseSpilloverGroup(
    const GroupLoad& own,
    const std::vector<GroupLoad>& others,
    uint32_t tasks,
    uint64_t choice) {
  if (HasFreeCapacityFor(own, tasks))
    return std::nullopt;
  const auto needed = static_cast<int64_t>(tasks);
  int64_t spare = 0;
  for (const GroupLoad& other : others) {
    if (SpareOf(other) >= needed + kSpareMargin)
      spare += SpareOf(other);
  }
  if (spare > 0) {
    auto left = static_cast<int64_t>(choice % static_cast<uint64_t>(spare));
    for (const GroupLoad& other : others) {
      if (SpareOf(other) < needed + kSpareMargin)
        continue;
      left -= SpareOf(other);
      if (left < 0)
        return other.group;
    }
  }
  const auto least = std::min_element(
      others.begin(), others.end(), [](const GroupLoad& a, const GroupLoad& b) {
        return PressureOf(a) < PressureOf(b);
      });
  if (least == others.end() || least->task_capacity == 0 ||
      PressureOf(own) - PressureOf(*least) < kWorthLeaving)
    return std::nullopt;
  return least->group;
}

}  // namespace dogwoodfall
