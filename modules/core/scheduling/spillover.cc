#include "core/scheduling/spillover.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "base/erase_if.h"
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
/** Maximum share of a group's capacity that is kept for a rise of its load, so
 * that a wrong forecast doesn't close the group to others.
 */
constexpr double kMaxKeptShare = 0.3;
/** Weight of a task that was sent to a group since its last heartbeat. Other
 * schedulers choose by the same heartbeat and are assumed to send as many.
 */
constexpr double kSentTasksFactor = 2;
/** Period of the samples of a group's load: that of heartbeats. */
constexpr Millis kTrendPeriod{100};
/** Time after which the trend of a group that is no longer owned is removed. */
constexpr Millis kMaxTrendAge{2'000};

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

uint32_t ToUint32(double value) {
  constexpr double kMax = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::clamp(value, 0.0, kMax));
}

bool CountsAsCapacity(const Scheduler& scheduler,
                      const ManagedEndpoint& endpoint,
                      const EndpointGroup& group,
                      Millis now) {
  return endpoint.group == group && AcceptsWork(scheduler, endpoint, now) &&
         !endpoint.is_ejected &&
         endpoint.slowness <
             kMaxUsableSlownessFactor * scheduler.median_slowness;
}

/** Returns the CPU need of all queued tasks of a group, in millicores. */
int64_t SumWaiting(const Scheduler& scheduler, const EndpointGroup& group) {
  int64_t sum = 0;
  for (const JobOrderKey& key : scheduler.queue) {
    const ScheduledJob& job = scheduler.jobs.at(key.second);
    if (!(job.group == group) || job.job.steps.empty())
      continue;
    // Nearly all jobs have one step.
    sum += int64_t{job.tasks_queued} *
           job.job.steps.front().resources.cpu_millicores;
  }
  return sum;
}

}  // namespace

GroupLoad ComputeGroupLoad(const Scheduler& scheduler,
                           const EndpointGroup& group,
                           Millis now) {
  GroupLoad load;
  load.group = group;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (!CountsAsCapacity(scheduler, endpoint, group, now))
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
  return ChooseLessLoadedGroup(own, others);
}

std::optional<EndpointGroup> ChooseLessLoadedGroup(
    const GroupLoad& own,
    const std::vector<GroupLoad>& others) {
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

GroupRoom ComputeGroupRoom(const Scheduler& scheduler,
                           const EndpointGroup& group,
                           Millis now) {
  GroupRoom room;
  room.group = group;
  room.mean_task_millicores = ToUint32(scheduler.mean_task_millicores);
  int64_t capacity = 0;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (!CountsAsCapacity(scheduler, endpoint, group, now))
      continue;
    capacity += endpoint.entry.capacity.cpu_millicores;
    const int64_t free =
        endpoint.entry.capacity.cpu_millicores - endpoint.used.cpu_millicores;
    for (size_t i = 0; i < kCountedTaskSizes.size(); ++i)
      room.fitting_tasks[i] =
          AddTasks(room.fitting_tasks[i], free,
                   kCountedTaskSizes[i] * scheduler.mean_task_millicores);
  }
  room.waiting_millicores =
      ToUint32(static_cast<double>(SumWaiting(scheduler, group)));
  const auto trend = scheduler.load_trends.find(group);
  if (trend != scheduler.load_trends.end())
    room.kept_millicores =
        ToUint32(std::min(ForecastRise(trend->second),
                          kMaxKeptShare * static_cast<double>(capacity)));
  return room;
}

uint32_t CountFittingTasks(const GroupRoom& room, int64_t task_millicores) {
  const double size =
      static_cast<double>(std::max<int64_t>(task_millicores, 1)) /
      std::max(room.mean_task_millicores, 1U);
  if (size <= kCountedTaskSizes.front())
    return room.fitting_tasks.front();
  for (size_t i = 1; i < kCountedTaskSizes.size(); ++i) {
    if (size > kCountedTaskSizes[i])
      continue;
    const double share = (size - kCountedTaskSizes[i - 1]) /
                         (kCountedTaskSizes[i] - kCountedTaskSizes[i - 1]);
    return ToUint32((1 - share) * room.fitting_tasks[i - 1] +
                    share * room.fitting_tasks[i]);
  }
  return ToUint32(room.fitting_tasks.back() * kCountedTaskSizes.back() / size);
}

bool HasRoomForJob(const Scheduler& scheduler,
                   const EndpointGroup& group,
                   const TransientJob& job,
                   Millis now) {
  int64_t needed = 0;
  int64_t size = 1;
  for (const JobStep& step : job.steps) {
    if (!step.after.empty())
      continue;
    needed += step.task_count;
    size = std::max(size, step.resources.cpu_millicores);
  }
  needed += (SumWaiting(scheduler, group) + size - 1) / size;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (needed <= 0)
      break;
    if (CountsAsCapacity(scheduler, endpoint, group, now))
      needed -= std::max<int64_t>(endpoint.entry.capacity.cpu_millicores -
                                      endpoint.used.cpu_millicores,
                                  0) /
                size;
  }
  return needed <= 0;
}

std::optional<EndpointGroup> ChooseGroupWithRoom(
    const std::vector<GroupRoom>& others,
    uint32_t tasks,
    int64_t task_millicores,
    uint64_t choice) {
  const auto spare_of = [&](const GroupRoom& room) {
    const int64_t size = std::max<int64_t>(task_millicores, 1);
    const int64_t taken =
        int64_t{room.waiting_millicores} + room.kept_millicores;
    const int64_t spare = int64_t{CountFittingTasks(room, task_millicores)} -
                          (taken + size - 1) / size;
    return spare >= int64_t{tasks} + kFreeCapacityMargin ? spare : 0;
  };
  int64_t spare_capacity = 0;
  for (const GroupRoom& other : others)
    spare_capacity += spare_of(other);
  if (spare_capacity == 0)
    return std::nullopt;
  auto remaining =
      static_cast<int64_t>(choice % static_cast<uint64_t>(spare_capacity));
  for (const GroupRoom& other : others) {
    remaining -= spare_of(other);
    if (remaining < 0)
      return other.group;
  }
  return std::nullopt;
}

void CountSentTasks(GroupRoom& room, uint32_t tasks, int64_t task_millicores) {
  const auto size = static_cast<double>(std::max<int64_t>(task_millicores, 0));
  room.waiting_millicores =
      ToUint32(room.waiting_millicores + kSentTasksFactor * tasks * size);
}

void UpdateLoadTrends(Scheduler& scheduler, Millis now) {
  std::map<EndpointGroup, int64_t> loads;
  for (const auto& [id, endpoint] : scheduler.endpoints)
    loads[endpoint.group] += endpoint.used.cpu_millicores;
  EraseIf(scheduler.load_trends, [now](const LoadTrend& trend) {
    return now - trend.updated_at > kMaxTrendAge;
  });
  for (const auto& [group, used] : loads) {
    LoadTrend& trend = scheduler.load_trends[group];
    if (now - trend.updated_at >= kTrendPeriod)
      UpdateLoadTrend(
          trend, static_cast<double>(used + SumWaiting(scheduler, group)), now);
  }
}

}  // namespace dogwoodfall
