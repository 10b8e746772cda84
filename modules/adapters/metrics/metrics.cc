#include "adapters/metrics/metrics.h"

#include <prometheus/text_serializer.h>

#include <utility>
#include <vector>

#include "adapters/metrics/metric_families.h"

namespace dogwoodfall {
namespace {

void AddNode(MetricFamilies& families, const Node& node, Millis now) {
  AddGauge(families, "tasks_queued", "Tasks queued on this daemon",
           SizeOf(node.dispatch.queue));
  AddGauge(families, "tasks_running",
           "Tasks of this daemon running on endpoints",
           node.dispatch.running.size());
  AddGauge(families, "slots_free",
           "Free slots on the endpoints that this daemon assigns tasks to",
           FreeSlots(node.dispatch.pool, now));
  AddGauge(families, "submissions_open", "Submissions without a final answer",
           node.ledger.open_by_deadline.size());
  AddGauge(families, "submissions_known", "Submissions in the ledger",
           node.ledger.records.size());
  AddGauge(families, "configuration_revision",
           "Revision of the active configuration", node.configuration.revision);
  AddGauge(families, "store_restored",
           "1 when the store was restored to an older state",
           node.claims.is_store_restored ? 1 : 0);
  AddCounter(families, "starts_total", "Starts sent to endpoints", "",
             {{"", node.counters.starts}});
  const Waste& waste = node.counters.waste;
  AddCounter(families, "wasted_messages_total",
             "Messages that did not contribute to an answer of a caller",
             "cause",
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

void AddNetwork(MetricFamilies& families, const PeerNetworkCounters& network) {
  AddCounter(
      families, "peer_bytes_total",
      "Bytes sent to and received from other daemons", "way",
      {{"sent", network.bytes_sent}, {"received", network.bytes_received}});
  AddCounter(families, "peer_dropped_total",
             "Dropped messages from and to other daemons", "cause",
             {{"foreign", network.dropped_non_member},
              {"bad", network.dropped_malformed},
              {"too_large", network.dropped_too_large},
              {"full", network.dropped_queue_full}});
}

}  // namespace

std::string FormatMetrics(const Node& node,
                          const PeerNetworkCounters& network,
                          const std::map<StorePurpose, uint64_t>& store_calls,
                          const HttpRefusalCounts& refusals,
                          uint64_t responses_given_up,
                          Millis now) {
  MetricFamilies families;
  AddNode(families, node, now);
  AddNetwork(families, network);
  AddRefusedClients(families, refusals, network.closed_memory_full,
                    responses_given_up);
  std::map<std::string, uint64_t> calls;
  for (const auto& [purpose, count] : store_calls)
    calls[NameOf(purpose)] = count;
  AddCounter(families, "store_calls_total", "Calls to the platform's store",
             "purpose", calls);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace dogwoodfall
