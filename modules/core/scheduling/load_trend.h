#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_LOAD_TREND_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_LOAD_TREND_H_

#include "base/millis.h"

namespace dogwoodfall {

/** Level of a load and its linear trend, by double exponential smoothing. */
struct LoadTrend {
  double level = 0;
  double slope_per_ms = 0;
  /** Zero before the first sample. */
  Millis updated_at;
};

/** Adds a sample. A gap of more than a second starts the trend anew. */
void UpdateLoadTrend(LoadTrend& trend, double sample, Millis now);

/** Returns by how much the load is expected to rise within the next second; 0
 * when it falls.
 */
double ForecastRise(const LoadTrend& trend);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_LOAD_TREND_H_
