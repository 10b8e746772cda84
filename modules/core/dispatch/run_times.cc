#include "core/dispatch/run_times.h"

#include <algorithm>
#include <cmath>

namespace dogwoodfall {
namespace {

/** Minimum smoothing factor of the moving averages. The first samples are
 * weighted evenly.
 */
constexpr double kMinRunTimeSmoothing = 0.1;
/** Minimum number of samples for the mean to replace the declared run time. */
constexpr uint32_t kMinSamples = 3;

}  // namespace

void RecordRunTime(RunTimes& times,
                   const CustomerId& customer,
                   const std::string& kind,
                   Millis run_time,
                   double slowness) {
  const auto key = std::make_pair(customer, kind);
  const auto found = times.by_kind.find(key);
  if (found == times.by_kind.end() &&
      times.by_kind.size() >= kMaxEstimatedKinds)
    return;
  RunTimeEstimate& estimate =
      found == times.by_kind.end() ? times.by_kind[key] : found->second;
  const double sample_ms =
      static_cast<double>(run_time.count) / std::max(slowness, 0.01);
  ++estimate.samples;
  const double smoothing =
      std::max(kMinRunTimeSmoothing, 1.0 / estimate.samples);
  const double error_ms = sample_ms - estimate.mean_ms;
  estimate.mean_ms += smoothing * error_ms;
  estimate.deviation_ms +=
      smoothing * (std::abs(error_ms) - estimate.deviation_ms);
}

Millis EstimateRunTime(const RunTimes& times,
                       const CustomerId& customer,
                       const TaskSpec& task) {
  const RunTimeEstimate* estimate =
      FindRunTimeEstimate(times, customer, task.kind);
  if (estimate == nullptr || estimate->samples < kMinSamples)
    return Millis{std::max<int64_t>(task.declared_run_time.count, 1)};
  return Millis{std::max<int64_t>(std::llround(estimate->mean_ms), 1)};
}

const RunTimeEstimate* FindRunTimeEstimate(const RunTimes& times,
                                           const CustomerId& customer,
                                           const std::string& kind) {
  const auto found = times.by_kind.find({customer, kind});
  return found == times.by_kind.end() ? nullptr : &found->second;
}

}  // namespace dogwoodfall
