#include "core/scheduling/admission.h"

#include <algorithm>
#include <cmath>

#include "core/scheduling/job_order.h"
#include "core/scheduling/placement.h"

namespace dogwoodfall {
namespace {

/** An answer later than this times the objective is of no use to the caller. */
constexpr int64_t kUsefulFactor = 3;
/** Share of the expected run time that one job in ten stays below; what can't
 * be served even so is refused.
 */
constexpr double kLuckyShare = 0.6;
/** Shortest time after which a refused caller is asked to come back. */
constexpr Millis kLeastRetryAfter{1'000};

Millis LastUsefulEnd(const ScheduledJob& job) {
  const Millis objective = job.objective_at - job.received;
  return std::min(job.caller_deadline,
                  job.received + Millis{kUsefulFactor * objective.count});
}

/** Which endpoints are asked whether they could run a job. */
enum class FitScope { kGroup, kAllKnown };

bool AnyEndpointFits(const Scheduler& scheduler,
                     const ScheduledJob& job,
                     FitScope scope) {
  const auto is_asked = [&](const ManagedEndpoint& endpoint) {
    return scope == FitScope::kAllKnown || endpoint.group == job.group;
  };
  return std::all_of(
      job.job.steps.begin(), job.job.steps.end(), [&](const JobStep& step) {
        return std::any_of(scheduler.endpoints.begin(),
                           scheduler.endpoints.end(), [&](const auto& entry) {
                             return is_asked(entry.second) &&
                                    CanEverRun(entry.second.entry, job.job,
                                               step);
                           });
      });
}

bool HasEndpoints(const Scheduler& scheduler, const EndpointGroup& group) {
  return std::any_of(
      scheduler.endpoints.begin(), scheduler.endpoints.end(),
      [&](const auto& entry) { return entry.second.group == group; });
}

}  // namespace

std::optional<JobOutcome> AdmissionDecision(const Scheduler& scheduler,
                                            const ScheduledJob& job,
                                            Millis now) {
  // What may have started runs on endpoints that may not be known here yet.
  if (job.has_started || job.may_have_started)
    return std::nullopt;
  if (AnyEndpointFits(scheduler, job, FitScope::kGroup))
    return ReviewDecision(scheduler, job, now);
  // Items of a zone that was cut off come back one after the other: a group
  // without endpoints says nothing of what could run there.
  if (!HasEndpoints(scheduler, job.group))
    return JobOutcome{JobResult::kRefused, kLeastRetryAfter, "no_endpoints"};
  if (!AnyEndpointFits(scheduler, job, FitScope::kAllKnown))
    return JobOutcome{JobResult::kFailed, {}, "fits_no_endpoint"};
  return JobOutcome{JobResult::kRefused, kLeastRetryAfter, "fits_elsewhere"};
}

std::optional<JobOutcome> ReviewDecision(const Scheduler& scheduler,
                                         const ScheduledJob& job,
                                         Millis now) {
  if (job.has_started)
    return std::nullopt;
  const Millis expected = EstimateJobRunTime(scheduler.run_times, job.job);
  const Millis least{std::llround(kLuckyShare * scheduler.fast_slowness *
                                  static_cast<double>(expected.count))};
  if (now + least <= LastUsefulEnd(job))
    return std::nullopt;
  return JobOutcome{JobResult::kRefused, kLeastRetryAfter, "too_late"};
}

}  // namespace dogwoodfall
