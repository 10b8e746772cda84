#include "core/dispatch/run_times.h"

#include <algorithm>
#include <cmath>

namespace dogwoodfall {
namespace {

/** Weight of one new sample. */
constexpr double kGain = 0.1;
/** Samples after which the learned mean replaces the declared time. */
constexpr uint32_t kEnoughSamples = 3;

}  // namespace

void RecordRunTime(RunTimes& times,
                   const CustomerId& customer,
                   const std::string& kind,
                   Millis run_time,
                   double slowness) {
  const auto key = std::make_pair(customer, kind);
  const auto found = times.by_kind.find(key);
  if (found == times.by_kind.end() && times.by_kind.size() >= kMaxLearnedKinds)
    return;
  RunTimeEstimate& learned =
      found == times.by_kind.end() ? times.by_kind[key] : found->second;
  const double sample =
      static_cast<double>(run_time.count) / std::max(slowness, 0.01);
  ++learned.samples;
  const double gain = std::max(kGain, 1.0 / learned.samples);
  const double error = sample - learned.mean_ms;
  learned.mean_ms += gain * error;
  learned.deviation_ms += gain * (std::abs(error) - learned.deviation_ms);
}

Millis ExpectedRunTime(const RunTimes& times,
                       const CustomerId& customer,
                       const TaskSpec& task) {
  const RunTimeEstimate* learned =
      FindRunTimeEstimate(times, customer, task.kind);
  if (learned == nullptr || learned->samples < kEnoughSamples)
    return Millis{std::max<int64_t>(task.declared_run_time.count, 1)};
  return Millis{std::max<int64_t>(std::llround(learned->mean_ms), 1)};
}

const RunTimeEstimate* FindRunTimeEstimate(const RunTimes& times,
                                           const CustomerId& customer,
                                           const std::string& kind) {
  const auto found = times.by_kind.find({customer, kind});
  return found == times.by_kind.end() ? nullptr : &found->second;
}

}  // namespace dogwoodfall
