#include "adapters/metrics/metric_families.h"

#include <limits>
#include <utility>

namespace dogwoodfall {
namespace {

/** Metric values by label value. A metric without a label has one value under
 * the empty string.
 */
using ValuesByLabel = std::map<std::string, double>;

prometheus::ClientMetric MakeMetric(prometheus::MetricType type,
                                    const std::string& label,
                                    const std::string& label_value,
                                    double value) {
  prometheus::ClientMetric metric;
  if (!label.empty())
    metric.label.push_back({label, label_value});
  if (type == prometheus::MetricType::Counter)
    metric.counter.value = value;
  else
    metric.gauge.value = value;
  return metric;
}

prometheus::MetricFamily MakeFamily(prometheus::MetricType type,
                                    const std::string& name,
                                    const std::string& help) {
  prometheus::MetricFamily family;
  family.name = "dogwoodfall_" + name;
  family.help = help;
  family.type = type;
  return family;
}

void AddFamily(MetricFamilies& families,
               prometheus::MetricType type,
               const std::string& name,
               const std::string& help,
               const std::string& label,
               const ValuesByLabel& values) {
  prometheus::MetricFamily family = MakeFamily(type, name, help);
  for (const auto& [label_value, value] : values)
    family.metric.push_back(MakeMetric(type, label, label_value, value));
  families.push_back(std::move(family));
}

}  // namespace

void AddGauge(MetricFamilies& families,
              const std::string& name,
              const std::string& help,
              uint64_t value) {
  AddFamily(families, prometheus::MetricType::Gauge, name, help, "",
            {{"", static_cast<double>(value)}});
}

void AddLabelledGauge(MetricFamilies& families,
                      const std::string& name,
                      const std::string& help,
                      const std::string& label,
                      const std::map<std::string, uint64_t>& values) {
  ValuesByLabel by_label;
  for (const auto& [label_value, value] : values)
    by_label[label_value] = static_cast<double>(value);
  AddFamily(families, prometheus::MetricType::Gauge, name, help, label,
            by_label);
}

void AddCounter(MetricFamilies& families,
                const std::string& name,
                const std::string& help,
                const std::string& label,
                const std::map<std::string, uint64_t>& counts) {
  ValuesByLabel values;
  for (const auto& [label_value, count] : counts)
    values[label_value] = static_cast<double>(count);
  AddFamily(families, prometheus::MetricType::Counter, name, help, label,
            values);
}

void AddLatency(MetricFamilies& families,
                const std::string& name,
                const std::string& help,
                const std::string& label,
                const std::vector<int64_t>& bounds,
                const std::map<std::string, LatencyCounts>& latencies) {
  prometheus::MetricFamily family =
      MakeFamily(prometheus::MetricType::Histogram, name, help);
  for (const auto& [label_value, latency] : latencies) {
    prometheus::ClientMetric metric;
    metric.label.push_back({label, label_value});
    uint64_t total = 0;
    for (size_t i = 0; i < latency.counts.size(); ++i) {
      total += latency.counts[i];
      prometheus::ClientMetric::Bucket bucket;
      bucket.cumulative_count = total;
      bucket.upper_bound = i < bounds.size()
                               ? static_cast<double>(bounds[i])
                               : std::numeric_limits<double>::infinity();
      metric.histogram.bucket.push_back(bucket);
    }
    metric.histogram.sample_count = total;
    metric.histogram.sample_sum = latency.sum_ms;
    family.metric.push_back(std::move(metric));
  }
  families.push_back(std::move(family));
}

}  // namespace dogwoodfall
