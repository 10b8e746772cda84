#ifndef DOGWOODFALL_MODULES_ADAPTERS_METRICS_METRIC_FAMILIES_H_
#define DOGWOODFALL_MODULES_ADAPTERS_METRICS_METRIC_FAMILIES_H_

#include <prometheus/metric_family.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dogwoodfall {

using MetricFamilies = std::vector<prometheus::MetricFamily>;

/** Histogram data for one label value. The counts are per bucket, not
 * cumulative.
 */
struct LatencyCounts {
  std::vector<uint64_t> counts;
  double sum_ms = 0;
};

/** Adds a gauge without a label. */
void AddGauge(MetricFamilies& families,
              const std::string& name,
              const std::string& help,
              uint64_t value);

/** Adds a gauge with one label.
 *
 * @param values value of the gauge by label value
 */
void AddLabelledGauge(MetricFamilies& families,
                      const std::string& name,
                      const std::string& help,
                      const std::string& label,
                      const std::map<std::string, uint64_t>& values);

/** Adds a counter with one label, or without labels when the label is empty.
 *
 * @param counts value of the counter by label value
 */
void AddCounter(MetricFamilies& families,
                const std::string& name,
                const std::string& help,
                const std::string& label,
                const std::map<std::string, uint64_t>& counts);

/** Adds a latency histogram in ms with one label.
 *
 * @param bounds upper bounds of all buckets except the last, which is unbounded
 * @param latencies histogram data by label value
 */
void AddLatency(MetricFamilies& families,
                const std::string& name,
                const std::string& help,
                const std::string& label,
                const std::vector<int64_t>& bounds,
                const std::map<std::string, LatencyCounts>& latencies);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_METRICS_METRIC_FAMILIES_H_
