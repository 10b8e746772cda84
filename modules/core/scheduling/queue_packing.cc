#include "core/scheduling/queue_packing.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_lease.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/run_projection.h"

namespace dogwoodfall {
namespace {

/** Time before its latest start from which a job is urgent: about the slack of
 * the shortest jobs. In plays of a long queue, 40 ms gave fewer jobs of many
 * short tasks in time.
 */
constexpr Millis kUrgentSlack{80};
/** Maximum number of endpoints with reserved capacity, in a group of some 40.
 */
constexpr size_t kMaxReservations = 8;

/** Urgency of a queued job, in the order in which jobs are placed. */
enum class Urgency : uint8_t {
  kNeedsFastEndpoints = 0,
  kUrgent = 1,
  kInTime = 2,
  kLate = 3,
};

/** Sort key of a job in a decision; lower keys are placed first. */
struct PackingKey {
  Urgency urgency = Urgency::kInTime;
  bool has_not_started = true;
  /** Minus the weighted size of its tasks; 0 if the size does not count. */
  double negative_size = 0;
  JobOrderKey order_key;

  friend bool operator<(const PackingKey& a, const PackingKey& b) {
    return std::tie(a.urgency, a.has_not_started, a.negative_size,
                    a.order_key) <
           std::tie(b.urgency, b.has_not_started, b.negative_size, b.order_key);
  }
};

bool HasQueuedTask(const std::vector<TaskProgress>& tasks) {
  return std::any_of(tasks.begin(), tasks.end(), [](const TaskProgress& task) {
    return task.phase == TaskPhase::kQueued;
  });
}

/** Returns true when tasks of a job may be started if they fit. */
bool MayBePlaced(const Scheduler& scheduler,
                 const ScheduledJob& job,
                 Millis now) {
  return MayStartTasks(scheduler, job.job.id, now) &&
         !MayHaveUnknownRuns(scheduler, job, now);
}

bool IsUrgent(const ScheduledJob& job, Millis now) {
  return job.latest_start >= now && job.latest_start <= now + kUrgentSlack;
}

/** Returns the processor share of a job's largest queued task, weighted by the
 * share of its slack that is used up.
 */
double ComputeAgedSize(const ScheduledJob& job, Millis now) {
  int64_t size = 0;
  for (uint32_t step = 0; step < job.tasks.size(); ++step) {
    if (HasQueuedTask(job.tasks[step]))
      size = std::max(size, job.job.steps[step].resources.cpu_millicores);
  }
  const auto slack = static_cast<double>(
      std::max<int64_t>((job.latest_start - ReceivedBy(job)).count, 1));
  const auto waited = static_cast<double>((now - ReceivedBy(job)).count);
  return static_cast<double>(size) * (1 + std::clamp(waited / slack, 0.0, 1.0));
}

PackingKey MakePackingKey(const Scheduler& scheduler,
                          const ScheduledJob& job,
                          Millis now) {
  PackingKey key;
  key.order_key = job.order_key;
  if (NeedsFastEndpoints(scheduler, job, now))
    key.urgency = Urgency::kNeedsFastEndpoints;
  else if (job.latest_start < now)
    key.urgency = Urgency::kLate;
  else if (IsUrgent(job, now))
    key.urgency = Urgency::kUrgent;
  if (key.urgency != Urgency::kInTime)
    key.has_not_started = !job.has_started;
  if (key.urgency == Urgency::kUrgent || key.urgency == Urgency::kInTime)
    key.negative_size = -ComputeAgedSize(job, now);
  return key;
}

bool FitsStep(const ManagedEndpoint& endpoint,
              const ScheduledJob& job,
              const JobStep& step) {
  return endpoint.group == job.group &&
         Fits(step.resources, endpoint.entry.capacity - endpoint.used) &&
         CanEverRun(endpoint.entry, job.job, step);
}

/** Returns the oldest urgent job in the queue of which no task fits the free
 * capacity, or null.
 */
const ScheduledJob* FindOldestBlockedJob(
    const Scheduler& scheduler,
    const std::vector<const ManagedEndpoint*>& endpoints_with_room,
    Millis now) {
  for (const JobOrderKey& key : scheduler.queue) {
    const ScheduledJob& job = scheduler.jobs.at(key.second);
    if (job.latest_start > now + kUrgentSlack)
      return nullptr;
    if (IsUrgent(job, now) && !FitsFreeCapacity(endpoints_with_room, job) &&
        MayBePlaced(scheduler, job, now))
      return &job;
  }
  return nullptr;
}

/** Determines when a task of a step fits an endpoint; none if it doesn't by the
 * job's latest start.
 */
std::optional<RoomReservation> PlanReservation(const ManagedEndpoint& endpoint,
                                               const ScheduledJob& job,
                                               const JobStep& step,
                                               Millis now) {
  TaskResources free = endpoint.entry.capacity - endpoint.used;
  for (const ProjectedEnd& end : ProjectRunEnds(endpoint, now)) {
    if (end.at > job.latest_start)
      break;
    free = free + end.resources;
    if (Fits(step.resources, free))
      return RoomReservation{job.job.id, end.at, free - step.resources,
                             endpoint.used};
  }
  return std::nullopt;
}

}  // namespace

std::vector<const ManagedEndpoint*> FindEndpointsWithRoom(
    const Scheduler& scheduler,
    Millis now) {
  std::vector<const ManagedEndpoint*> endpoints;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.used.cpu_millicores < endpoint.entry.capacity.cpu_millicores &&
        AcceptsWork(scheduler, endpoint, now))
      endpoints.push_back(&endpoint);
  }
  return endpoints;
}

bool FitsFreeCapacity(const std::vector<const ManagedEndpoint*>& endpoints,
                      const ScheduledJob& job) {
  for (uint32_t step = 0; step < job.tasks.size(); ++step) {
    if (!HasQueuedTask(job.tasks[step]))
      continue;
    if (std::any_of(endpoints.begin(), endpoints.end(),
                    [&](const ManagedEndpoint* endpoint) {
                      return FitsStep(*endpoint, job, job.job.steps[step]);
                    }))
      return true;
  }
  return false;
}

std::vector<SubmissionId> ChooseJobsToPlace(
    const Scheduler& scheduler,
    const std::vector<const ManagedEndpoint*>& endpoints_with_room,
    Millis now) {
  std::vector<std::pair<PackingKey, SubmissionId>> keyed;
  uint32_t tasks = 0;
  for (const JobOrderKey& key : scheduler.queue) {
    if (endpoints_with_room.empty() || tasks >= kMaxPackedTasks)
      break;
    const ScheduledJob& job = scheduler.jobs.at(key.second);
    if (!FitsFreeCapacity(endpoints_with_room, job) ||
        !MayBePlaced(scheduler, job, now))
      continue;
    tasks += job.tasks_queued;
    keyed.emplace_back(MakePackingKey(scheduler, job, now), key.second);
  }
  std::sort(keyed.begin(), keyed.end());
  std::vector<SubmissionId> jobs;
  jobs.reserve(keyed.size());
  for (auto& [key, id] : keyed)
    jobs.push_back(std::move(id));
  return jobs;
}

void ReserveCapacity(
    Scheduler& scheduler,
    const std::vector<const ManagedEndpoint*>& endpoints_with_room,
    Millis now,
    Actions& actions) {
  scheduler.reservations.clear();
  const ScheduledJob* job =
      FindOldestBlockedJob(scheduler, endpoints_with_room, now);
  if (job == nullptr)
    return;
  std::vector<std::pair<EndpointId, RoomReservation>> planned;
  for (uint32_t step = 0; step < job->tasks.size(); ++step) {
    if (!HasQueuedTask(job->tasks[step]))
      continue;
    const JobStep& queued_step = job->job.steps[step];
    for (const auto& [id, endpoint] : scheduler.endpoints) {
      if (endpoint.group == job->group &&
          AcceptsWork(scheduler, endpoint, now) &&
          CanEverRun(endpoint.entry, job->job, queued_step)) {
        std::optional<RoomReservation> reservation =
            PlanReservation(endpoint, *job, queued_step, now);
        if (reservation)
          planned.emplace_back(id, std::move(*reservation));
      }
    }
    break;
  }
  const size_t count = std::min<size_t>(
      {planned.size(), kMaxReservations, size_t{job->tasks_queued}});
  std::partial_sort(planned.begin(),
                    planned.begin() + static_cast<std::ptrdiff_t>(count),
                    planned.end(), [](const auto& a, const auto& b) {
                      return std::tie(a.second.ready_at, a.first) <
                             std::tie(b.second.ready_at, b.first);
                    });
  planned.resize(count);
  for (auto& [id, reservation] : planned)
    scheduler.reservations.emplace(id, std::move(reservation));
  if (count == 0 || scheduler.last_reservation == job->job.id)
    return;
  scheduler.last_reservation = job->job.id;
  ++scheduler.counters.reservations;
  actions.push_back(LogEvent{
      "capacity_reserved",
      {{"job", job->job.id.value},
       {"endpoints", std::to_string(count)},
       {"ready_ms",
        std::to_string((planned.front().second.ready_at - now).count)},
       {"slack_ms", std::to_string((job->latest_start - now).count)}}});
}

bool IsReservedForOther(const Scheduler& scheduler,
                        const ManagedEndpoint& endpoint,
                        const SubmissionId& job,
                        const TaskResources& resources) {
  if (scheduler.reservations.empty())
    return false;
  const auto reserved = scheduler.reservations.find(endpoint.entry.id);
  if (reserved == scheduler.reservations.end() || reserved->second.job == job)
    return false;
  const TaskResources started = endpoint.used - reserved->second.used;
  return !Fits(resources, reserved->second.surplus - started);
}

}  // namespace dogwoodfall
