#include "core/scheduling/load_trend.h"

#include <algorithm>
#include <cmath>

namespace dogwoodfall {
namespace {

/** Time constants of the level and of the slope. A wave of 11 to 17 s rises for
 * some 5 s; single jobs make the load vary within 0.2 s.
 */
constexpr double kLevelTimeMs = 300;
constexpr double kSlopeTimeMs = 700;
/** Gap between samples after which the trend is unknown. */
constexpr Millis kMaxGap{1'000};
/** How far ahead the load is forecast. */
constexpr double kForecastMs = 1'000;

double WeightOf(double elapsed_ms, double time_ms) {
  return 1 - std::exp(-elapsed_ms / time_ms);
}

}  // namespace

void UpdateLoadTrend(LoadTrend& trend, double sample, Millis now) {
  const Millis elapsed = now - trend.updated_at;
  if (trend.updated_at == Millis() || elapsed > kMaxGap) {
    trend = {sample, 0, now};
    return;
  }
  if (elapsed <= Millis())
    return;
  const auto elapsed_ms = static_cast<double>(elapsed.count);
  const double previous = trend.level;
  const double expected = previous + trend.slope_per_ms * elapsed_ms;
  trend.level =
      expected + WeightOf(elapsed_ms, kLevelTimeMs) * (sample - expected);
  const double slope = (trend.level - previous) / elapsed_ms;
  trend.slope_per_ms +=
      WeightOf(elapsed_ms, kSlopeTimeMs) * (slope - trend.slope_per_ms);
  trend.updated_at = now;
}

double ForecastRise(const LoadTrend& trend) {
  return std::max(trend.slope_per_ms * kForecastMs, 0.0);
}

}  // namespace dogwoodfall
