#include "adapters/metrics/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <utility>
#include <vector>

namespace dogwoodfall {
namespace {

using Families = std::vector<prometheus::MetricFamily>;
/** Values by the value of the one label, or one value under "". */
using Values = std::map<std::string, double>;

prometheus::ClientMetric MetricOf(prometheus::MetricType type,
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

void Add(Families& families,
         prometheus::MetricType type,
         const std::string& name,
         const std::string& help,
         const std::string& label,
         const Values& values) {
  prometheus::MetricFamily family;
  family.name = "dogwoodfall_" + name;
  family.help = help;
  family.type = type;
  for (const auto& [label_value, value] : values)
    family.metric.push_back(MetricOf(type, label, label_value, value));
  families.push_back(std::move(family));
}

void AddGauge(Families& families,
              const std::string& name,
              const std::string& help,
              uint64_t value) {
  Add(families, prometheus::MetricType::Gauge, name, help, "",
      {{"", static_cast<double>(value)}});
}

void AddCounter(Families& families,
                const std::string& name,
                const std::string& help,
                const std::string& label,
                const std::map<std::string, uint64_t>& counts) {
  Values values;
  for (const auto& [label_value, count] : counts)
    values[label_value] = static_cast<double>(count);
  Add(families, prometheus::MetricType::Counter, name, help, label, values);
}

void AddNode(Families& families, const Node& node, Millis now) {
  AddGauge(families, "tasks_queued", "Tasks that wait here",
           SizeOf(node.dispatch.queue));
  AddGauge(families, "tasks_running", "Tasks that run on endpoints",
           node.dispatch.running.size());
  AddGauge(families, "slots_free", "Free slots of the endpoints filled here",
           FreeSlots(node.dispatch.pool, now));
  AddGauge(families, "submissions_open", "Submissions without an answer",
           node.ledger.open_by_deadline.size());
  AddGauge(families, "submissions_known", "Submissions in the ledger",
           node.ledger.records.size());
  AddGauge(families, "configuration_revision", "Revision of the lists in force",
           node.configuration.revision);
  AddGauge(families, "store_restored", "1 when the store went back in time",
           node.claims.store_restored ? 1 : 0);
  AddCounter(families, "starts_total", "Starts sent to endpoints", "",
             {{"", node.counters.starts}});
  const Waste& waste = node.counters.waste;
  AddCounter(families, "wasted_messages_total",
             "Messages that led to nothing the caller got", "cause",
             {{"refused_start", waste.refused_starts},
              {"failed_connection", waste.failed_connections},
              {"bounced_forward", waste.bounced_forwards},
              {"repeat", node.sessions.repeats},
              {"dropped_answer", waste.dropped_answers},
              {"stop", waste.stops}});
  std::map<std::string, uint64_t> answers;
  for (const auto& [code, count] : node.counters.answers)
    answers[std::string(RowOf(code).name)] = count;
  AddCounter(families, "answers_total", "Final answers by code", "code",
             answers);
}

void AddNetwork(Families& families, const PeerNetworkCounters& network) {
  AddCounter(
      families, "peer_bytes_total", "Bytes between daemons", "way",
      {{"sent", network.bytes_sent}, {"received", network.bytes_received}});
  AddCounter(families, "peer_dropped_total",
             "Messages of peers that were dropped", "cause",
             {{"foreign", network.dropped_foreign},
              {"bad", network.dropped_bad},
              {"too_large", network.dropped_too_large},
              {"full", network.dropped_full}});
}

}  // namespace

std::string FormatMetrics(const Node& node,
                          const PeerNetworkCounters& network,
                          const std::map<StorePurpose, uint64_t>& store_calls,
                          Millis now) {
  Families families;
  AddNode(families, node, now);
  AddNetwork(families, network);
  std::map<std::string, uint64_t> calls;
  for (const auto& [purpose, count] : store_calls)
    calls[NameOf(purpose)] = count;
  AddCounter(families, "store_calls_total", "Calls to the platform's store",
             "purpose", calls);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace dogwoodfall
