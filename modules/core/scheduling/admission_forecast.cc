#include "core/scheduling/admission_forecast.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "base/erase_if.h"
#include "base/hash.h"
#include "core/dispatch/run_times.h"
#include "core/scheduling/admission.h"
#include "core/scheduling/job_order.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/queue_packing.h"
#include "core/scheduling/run_projection.h"

namespace dogwoodfall {
namespace {

/** Time after a pause or a change of endpoints in which nothing is refused by
 * forecast: run times and the queue are not typical yet.
 */
constexpr Millis kSettlingTime{2'000};
/** Maximum share of a group's capacity whose endpoints have changed their
 * status within that time; they count as free. A few change all the time.
 */
constexpr double kMaxUnsettledShare = 0.2;
/** Minimum number of samples of a route for a forecast. */
constexpr uint32_t kMinSamples = 20;
/** Share of the remaining time of runs, and of the run times of jobs that wait
 * or arrive, that is assumed in the best case. Run times differ from their
 * estimates by a factor of 1.3; sums over tens of runs differ by less.
 */
constexpr double kBestCaseShare = 0.8;

/** Times from now for which the need of the queue is summed up. Callers wait
 * for 1,500 ms.
 */
constexpr std::array<double, 6> kHorizonsMs = {0, 100, 200, 400, 800, 1'500};

/** Least and greatest Retry-After in seconds. */
constexpr double kMinRetryAfterS = 1;
constexpr double kMaxRetryAfterS = 10;
/** Time over which retries are spread in addition to the time in which the
 * queue drains, so that callers don't return in one wave.
 */
constexpr double kMinRetrySpreadS = 2;
/** Increase of that time for each step of priority, and the lowest priority
 * that is told apart.
 */
constexpr double kPrioritySpread = 0.5;
constexpr uint32_t kMaxPriorityStep = 4;

/** Time constant of the moving averages of demand, service and starts. */
constexpr double kAverageTimeMs = 3'000;
/** Weight of a sample in the size that one in ten jobs exceeds. */
constexpr double kQuantileStep = 0.05;
constexpr double kLargeQuantile = 0.9;
/** Maximum number of zones and kinds that are told apart. */
constexpr size_t kMaxShares = 256;
constexpr double kMsPerSecond = 1'000;
constexpr double kMillicoresPerCore = 1'000;

/** Returns the processor time of a job's queued and blocked tasks, in
 * core-milliseconds at slowness 1, by their expected run times.
 */
double ComputeProcessorTime(const Scheduler& scheduler,
                            const ScheduledJob& job) {
  double core_ms = 0;
  for (const JobStep& step : job.job.steps) {
    const Millis run_time =
        EstimateTaskRunTime(scheduler.run_times, job.job, step);
    core_ms += step.task_count * static_cast<double>(run_time.count) *
               static_cast<double>(step.resources.cpu_millicores) /
               kMillicoresPerCore;
  }
  return core_ms;
}

double DecayFactor(Millis since, Millis now) {
  return std::exp(-static_cast<double>((now - since).count) / kAverageTimeMs);
}

/** Capacity of a group that is expected to become free and to be asked for, in
 * millicore-milliseconds.
 */
struct CapacityForecast {
  /** Projected ends of runs, and capacity that is free now, as (ms from now,
   * millicores).
   */
  std::vector<std::pair<double, double>> freed;
  /** Expected demand of jobs that have not arrived yet, in millicores. */
  double arriving = 0;
  /** False when little is known. */
  bool is_reliable = true;

  double FreeUntil(double time_ms) const {
    double sum = 0;
    for (const auto& [at_ms, millicores] : this->freed)
      sum += std::max(time_ms - at_ms, 0.0) * millicores;
    return sum;
  }
};

/** Returns the demand of all jobs in the last seconds, in cores. */
double ComputeDemand(const Scheduler& scheduler, Millis now) {
  double demanded = 0;
  for (const auto& [key, share] : scheduler.admission.shares)
    demanded += share.demanded * DecayFactor(share.updated_at, now);
  return demanded / kAverageTimeMs;
}

CapacityForecast ForecastCapacity(const Scheduler& scheduler,
                                  const EndpointGroup& group,
                                  Millis now) {
  CapacityForecast forecast;
  forecast.is_reliable = now - scheduler.resumed_at >= kSettlingTime &&
                         now >= scheduler.starts_blocked_until + kSettlingTime;
  double capacity = 0;
  double total_capacity = 0;
  double unsettled_capacity = 0;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    const auto endpoint_capacity =
        static_cast<double>(endpoint.entry.capacity.cpu_millicores);
    total_capacity += endpoint_capacity;
    if (!(endpoint.group == group))
      continue;
    capacity += endpoint_capacity;
    if (endpoint.status == EndpointStatus::kReconciling ||
        now - endpoint.status_since < kSettlingTime) {
      unsettled_capacity += endpoint_capacity;
      forecast.freed.emplace_back(0, endpoint_capacity);
      continue;
    }
    if (!AcceptsWork(scheduler, endpoint, now))
      continue;
    forecast.freed.emplace_back(
        0, std::max(endpoint_capacity -
                        static_cast<double>(endpoint.used.cpu_millicores),
                    0.0));
    for (const auto& [key, run] : endpoint.runs)
      forecast.freed.emplace_back(
          kBestCaseShare * static_cast<double>(
                               (ProjectRunEnd(endpoint, run, now) - now).count),
          static_cast<double>(run.resources.cpu_millicores));
  }
  forecast.is_reliable &= unsettled_capacity <= kMaxUnsettledShare * capacity;
  forecast.arriving = kBestCaseShare * scheduler.median_slowness *
                      kMillicoresPerCore * ComputeDemand(scheduler, now) *
                      capacity / std::max(total_capacity, 1.0);
  return forecast;
}

/** What queued jobs need within each of kHorizonsMs, in
 * millicore-milliseconds.
 */
struct QueueNeed {
  std::array<double, kHorizonsMs.size()> within = {};

  void Add(const Scheduler& scheduler, const ScheduledJob& job) {
    const JobStep& step = job.job.steps.front();
    const double run_time_ms =
        kBestCaseShare * scheduler.median_slowness *
        static_cast<double>(
            EstimateTaskRunTime(scheduler.run_times, job.job, step).count);
    for (size_t i = 0; i < kHorizonsMs.size(); ++i)
      this->within[i] += job.tasks_queued *
                         std::min(run_time_ms, kHorizonsMs[i]) *
                         static_cast<double>(step.resources.cpu_millicores);
  }

  /** Interpolates, which gives too little rather than too much, as the need
   * rises ever more slowly with the time.
   */
  double Until(double time_ms) const {
    for (size_t i = 1; i < kHorizonsMs.size(); ++i) {
      if (time_ms > kHorizonsMs[i])
        continue;
      const double share = (time_ms - kHorizonsMs[i - 1]) /
                           (kHorizonsMs[i] - kHorizonsMs[i - 1]);
      return (1 - share) * this->within[i - 1] + share * this->within[i];
    }
    return this->within.back();
  }
};

bool HasEnoughSamples(const Scheduler& scheduler, const ScheduledJob& job) {
  const RunTimeEstimate* estimate = FindRunTimeEstimate(
      scheduler.run_times, CustomerId(job.job.service), job.job.route);
  return estimate != nullptr && estimate->samples >= kMinSamples;
}

ShareKey MakeShareKey(const Scheduler& scheduler, const ScheduledJob& job) {
  const AdmissionState& state = scheduler.admission;
  const auto zone = state.daemon_zones.find(job.receiver.id);
  const auto large_size = state.large_job_sizes.find(job.job.route);
  const bool is_large =
      large_size != state.large_job_sizes.end() &&
      ComputeProcessorTime(scheduler, job) > large_size->second;
  return {zone == state.daemon_zones.end() ? job.group.zone : zone->second,
          job.job.route, is_large};
}

ServedShare& UpdateShare(Scheduler& scheduler,
                         const ShareKey& key,
                         Millis now) {
  std::map<ShareKey, ServedShare>& shares = scheduler.admission.shares;
  if (shares.size() >= kMaxShares && shares.count(key) == 0)
    shares.clear();
  ServedShare& share =
      shares.try_emplace(key, ServedShare{0, 0, now}).first->second;
  const double factor = DecayFactor(share.updated_at, now);
  share.demanded *= factor;
  share.served *= factor;
  share.updated_at = now;
  return share;
}

/** Returns the share of its demand that a zone and kind was served; 1 when
 * nothing is known.
 */
double GetServedShare(const Scheduler& scheduler, const ShareKey& key) {
  const auto share = scheduler.admission.shares.find(key);
  if (share == scheduler.admission.shares.end() || share->second.demanded <= 0)
    return 1;
  return share->second.served / share->second.demanded;
}

}  // namespace

std::vector<SubmissionId> ChooseJobsToRefuse(const Scheduler& scheduler,
                                             Millis now) {
  std::map<EndpointGroup, std::vector<const ScheduledJob*>> queues;
  for (const JobOrderKey& key : scheduler.queue) {
    const ScheduledJob& job = scheduler.jobs.at(key.second);
    if (!job.job.steps.empty())
      queues[job.group].push_back(&job);
  }
  const std::vector<const ManagedEndpoint*> endpoints =
      FindEndpointsWithRoom(scheduler, now);
  std::vector<SubmissionId> refused;
  for (const auto& [group, queue] : queues) {
    const CapacityForecast forecast = ForecastCapacity(scheduler, group, now);
    if (!forecast.is_reliable)
      continue;
    QueueNeed need;
    std::vector<std::pair<double, const ScheduledJob*>> candidates;
    for (const ScheduledJob* job : queue) {
      const auto slack_ms = static_cast<double>(
          std::max((job->latest_start - now).count, int64_t{0}));
      const bool may_be_refused = !job->has_started && !job->may_have_started &&
                                  HasEnoughSamples(scheduler, *job) &&
                                  !FitsFreeCapacity(endpoints, *job);
      if (may_be_refused && need.Until(slack_ms) > forecast.FreeUntil(slack_ms))
        candidates.emplace_back(
            GetServedShare(scheduler, MakeShareKey(scheduler, *job)), job);
      else
        need.Add(scheduler, *job);
    }
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [share, job] : candidates) {
      const auto time_ms = static_cast<double>(std::max(
          (ComputeLatestUsefulStart(scheduler, *job) - now).count, int64_t{0}));
      if (need.Until(time_ms) + forecast.arriving * time_ms >
          forecast.FreeUntil(time_ms))
        refused.push_back(job->job.id);
      else
        need.Add(scheduler, *job);
    }
  }
  return refused;
}

Millis ComputeRetryAfter(const Scheduler& scheduler,
                         const ScheduledJob& job,
                         Millis now) {
  uint32_t tasks_queued = 0;
  for (const JobOrderKey& key : scheduler.queue)
    tasks_queued += scheduler.jobs.at(key.second).tasks_queued;
  const double drain_s =
      tasks_queued == 0
          ? 0
          : tasks_queued / std::max(scheduler.admission.starts_per_s, 1.0);
  const double priority_factor =
      1 + kPrioritySpread * std::min(job.job.priority, kMaxPriorityStep);
  const auto waited_s =
      static_cast<double>(std::max((now - job.received_at).count, int64_t{0})) /
      kMsPerSecond;
  const double spread_s =
      (kMinRetrySpreadS + drain_s) * priority_factor / (1 + waited_s);
  constexpr uint64_t kHashSteps = 1'024;
  const double position =
      static_cast<double>(StableHash(job.job.id.value) % kHashSteps) /
      kHashSteps;
  // The answer's header has whole seconds and is rounded up from ms.
  const double seconds =
      std::clamp(std::floor(kMinRetryAfterS + position * spread_s),
                 kMinRetryAfterS, kMaxRetryAfterS);
  return Millis{std::llround(seconds * kMsPerSecond)};
}

void RecordDemand(Scheduler& scheduler, const ScheduledJob& job, Millis now) {
  const double core_ms = ComputeProcessorTime(scheduler, job);
  UpdateShare(scheduler, MakeShareKey(scheduler, job), now).demanded += core_ms;
  std::map<std::string, double>& sizes = scheduler.admission.large_job_sizes;
  if (sizes.size() >= kMaxShares && sizes.count(job.job.route) == 0)
    sizes.clear();
  double& size = sizes.try_emplace(job.job.route, core_ms).first->second;
  size *= 1 + kQuantileStep *
                  (core_ms > size ? kLargeQuantile : kLargeQuantile - 1);
}

void RecordService(Scheduler& scheduler, const ScheduledJob& job, Millis now) {
  UpdateShare(scheduler, MakeShareKey(scheduler, job), now).served +=
      ComputeProcessorTime(scheduler, job);
}

void UpdateDrainRate(Scheduler& scheduler, Millis now) {
  AdmissionState& state = scheduler.admission;
  const uint64_t starts = scheduler.counters.starts;
  if (state.starts_counted_at != Millis() && now > state.starts_counted_at) {
    const double elapsed_s =
        static_cast<double>((now - state.starts_counted_at).count) /
        kMsPerSecond;
    const double rate =
        static_cast<double>(starts - state.counted_starts) / elapsed_s;
    state.starts_per_s += (1 - DecayFactor(state.starts_counted_at, now)) *
                          (rate - state.starts_per_s);
  }
  state.counted_starts = starts;
  state.starts_counted_at = now;
  EraseIf(state.shares, [now](const ServedShare& share) {
    return static_cast<double>((now - share.updated_at).count) >
           10 * kAverageTimeMs;
  });
}

}  // namespace dogwoodfall
