#include "core/scheduling/admission.h"

#include <algorithm>
#include <cmath>

#include "core/scheduling/admission_forecast.h"
#include "core/scheduling/job_order.h"
#include "core/scheduling/placement.h"

namespace dogwoodfall {
namespace {

/** An answer that takes longer than this multiple of the objective is of no use
 * to the caller.
 */
constexpr int64_t kMaxObjectiveMultiple = 3;
/** Best-case share of the expected run time: one job in ten stays below it. A
 * job that could not be completed in time even then is rejected.
 */
constexpr double kBestCaseRunTimeShare = 0.6;
/** Minimum delay before the caller of a rejected job should retry. */
constexpr Millis kMinRetryAfter{1'000};
/** Delay before the caller of a job should retry that no endpoint has had room
 * for. A larger one may be added, or its entry may not have been read yet.
 */
constexpr Millis kLargerEndpointRetryAfter{10'000};

Millis ComputeLatestUsefulEnd(const ScheduledJob& job) {
  const Millis received_by = ReceivedBy(job);
  const Millis objective = job.objective_deadline - received_by;
  return std::min(
      job.caller_deadline,
      received_by + Millis{kMaxObjectiveMultiple * objective.count});
}

/** Returns the Retry-After of a job that can't be in time. */
Millis GetRetryAfter(const Scheduler& scheduler,
                     const ScheduledJob& job,
                     Millis now) {
  return scheduler.options.admission_forecast
             ? ComputeRetryAfter(scheduler, job, now)
             : kMinRetryAfter;
}

/** Which endpoints are searched for ones that can run a job. */
enum class FitScope { kGroup, kAllKnown };

bool HasFittingEndpoint(const Scheduler& scheduler,
                        const ScheduledJob& job,
                        FitScope scope) {
  const auto is_in_scope = [&](const ManagedEndpoint& endpoint) {
    return scope == FitScope::kAllKnown || endpoint.group == job.group;
  };
  return std::all_of(
      job.job.steps.begin(), job.job.steps.end(), [&](const JobStep& step) {
        return std::any_of(scheduler.endpoints.begin(),
                           scheduler.endpoints.end(), [&](const auto& entry) {
                             return is_in_scope(entry.second) &&
                                    CanEverRun(entry.second.entry, job.job,
                                               step);
                           });
      });
}

/** Returns true when the endpoints that are or were known have had room for a
 * job, so that it may fit again.
 */
bool HasOnceFitted(const Scheduler& scheduler, const ScheduledJob& job) {
  return std::all_of(
      job.job.steps.begin(), job.job.steps.end(), [&](const JobStep& step) {
        return std::any_of(
            scheduler.endpoint_history.begin(),
            scheduler.endpoint_history.end(), [&](const auto& entry) {
              return CanEverRun(entry.second.largest_entry, job.job, step);
            });
      });
}

/** Returns the probability that a job which starts now is in time on a fast
 * endpoint; none when the distribution of its run times is not known.
 */
std::optional<double> EstimateChance(const Scheduler& scheduler,
                                     const ScheduledJob& job,
                                     Millis now) {
  if (job.run_times.size() != 1)
    return std::nullopt;
  const auto time_left_ms =
      static_cast<double>((ComputeLatestUsefulEnd(job) - now).count);
  const Millis limit{std::llround(time_left_ms / scheduler.fast_slowness)};
  return ProbabilityOfAtMost(job.run_times[0], limit);
}

bool HasEndpoints(const Scheduler& scheduler, const EndpointGroup& group) {
  return std::any_of(
      scheduler.endpoints.begin(), scheduler.endpoints.end(),
      [&](const auto& entry) { return entry.second.group == group; });
}

}  // namespace

Millis ComputeLatestUsefulStart(const Scheduler& scheduler,
                                const ScheduledJob& job) {
  const Millis expected_run_time =
      EstimateJobRunTime(scheduler.run_times, job.job);
  const Millis best_case_run_time{
      std::llround(kBestCaseRunTimeShare * scheduler.fast_slowness *
                   static_cast<double>(expected_run_time.count))};
  return ComputeLatestUsefulEnd(job) - best_case_run_time;
}

std::optional<JobOutcome> DecideAdmission(const Scheduler& scheduler,
                                          const ScheduledJob& job,
                                          Millis now) {
  // Runs of the job may be active on endpoints that are not known here yet.
  if (job.has_started || job.may_have_started)
    return std::nullopt;
  if (HasFittingEndpoint(scheduler, job, FitScope::kGroup))
    return ReviewWaitingJob(scheduler, job, now);
  // After a partition, the endpoints of a zone are registered again one by one.
  // For a group without endpoints it is not known yet which tasks it can run.
  if (!HasEndpoints(scheduler, job.group) && !scheduler.are_endpoints_known)
    return std::nullopt;
  if (!HasEndpoints(scheduler, job.group))
    return JobOutcome{JobResult::kRefused, kMinRetryAfter, "no_endpoints"};
  if (HasFittingEndpoint(scheduler, job, FitScope::kAllKnown))
    return JobOutcome{JobResult::kRefused, kMinRetryAfter, "fits_other_group"};
  if (HasOnceFitted(scheduler, job))
    return JobOutcome{JobResult::kRefused, kMinRetryAfter,
                      "fits_no_endpoint_now"};
  return JobOutcome{JobResult::kRefused, kLargerEndpointRetryAfter,
                    "fits_no_endpoint"};
}

std::optional<JobOutcome> ReviewWaitingJob(const Scheduler& scheduler,
                                           const ScheduledJob& job,
                                           Millis now) {
  if (job.has_started)
    return std::nullopt;
  if (!job.may_have_started && HasEndpoints(scheduler, job.group) &&
      !HasFittingEndpoint(scheduler, job, FitScope::kGroup))
    return JobOutcome{JobResult::kRefused, kMinRetryAfter,
                      "fits_no_endpoint_now"};
  const std::optional<double> chance = EstimateChance(scheduler, job, now);
  const bool may_be_in_time =
      chance ? *chance >= kMinChance
             : now <= ComputeLatestUsefulStart(scheduler, job);
  if (may_be_in_time)
    return std::nullopt;
  return JobOutcome{JobResult::kRefused, GetRetryAfter(scheduler, job, now),
                    "too_late"};
}

}  // namespace dogwoodfall
