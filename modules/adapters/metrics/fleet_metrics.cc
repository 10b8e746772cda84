#include "adapters/metrics/fleet_metrics.h"

#include <prometheus/text_serializer.h>

#include <iterator>
#include <map>
#include <vector>

#include "adapters/metrics/metric_families.h"

namespace dogwoodfall {
namespace {

const char* NameOf(size_t end) {
  constexpr const char* kNames[] = {"completed", "failed", "refused",
                                    "abandoned"};
  return end < std::size(kNames) ? kNames[end] : "other";
}

void AddReception(MetricFamilies& families, const Reception& reception) {
  const ReceptionCounters& counters = reception.counters;
  AddGauge(families, "jobs_pending", "Jobs whose callers wait here",
           reception.pending.size());
  AddCounter(families, "jobs_received_total", "Jobs that callers sent here", "",
             {{"", counters.jobs}});
  AddCounter(families, "callers_gone_total",
             "Callers that left before their answer", "",
             {{"", counters.callers_gone}});
  std::map<std::string, LatencyCounts> latencies;
  for (size_t end = 0; end < ReceptionCounters::kJobResultCount; ++end) {
    LatencyCounts& row = latencies[NameOf(end)];
    row.counts.assign(std::begin(counters.latency[end]),
                      std::end(counters.latency[end]));
    row.sum_ms = counters.latency_sum_ms[end];
  }
  AddLatency(families, "job_latency_ms",
             "Time from a request to its answer, by how the job ended", "end",
             {std::begin(ReceptionCounters::kLatencyBounds),
              std::end(ReceptionCounters::kLatencyBounds)},
             latencies);
}

void AddScheduler(MetricFamilies& families, const Scheduler& scheduler) {
  const SchedulingCounters& counters = scheduler.counters;
  AddGauge(families, "endpoints_owned", "Endpoints given orders by this daemon",
           scheduler.endpoints.size());
  AddGauge(families, "jobs_scheduled", "Jobs that run or wait here",
           scheduler.jobs.size());
  AddGauge(families, "jobs_waiting", "Jobs with tasks that wait for room",
           scheduler.queue.size());
  AddCounter(families, "starts_total", "Starts ordered", "",
             {{"", counters.starts}});
  std::map<std::string, uint64_t> outcomes;
  for (size_t i = 0; i <= static_cast<size_t>(CommandOutcome::kUnanswered); ++i)
    outcomes[dogwoodfall::NameOf(static_cast<CommandOutcome>(i))] =
        counters.start_outcomes[i];
  AddCounter(families, "start_outcomes_total", "Starts by their outcome",
             "outcome", outcomes);
  std::map<std::string, uint64_t> ends;
  for (size_t i = 0; i <= static_cast<size_t>(RunResult::kOther); ++i)
    ends[dogwoodfall::NameOf(static_cast<RunResult>(i))] =
        counters.run_results[i];
  AddCounter(families, "run_ends_total", "Runs by how they ended", "how", ends);
  AddCounter(families, "orders_total", "Orders other than starts", "kind",
             {{"stop", counters.stops}, {"renewal", counters.renewals}});
  AddCounter(families, "runs_overdue_total",
             "Runs stopped for taking far longer than expected", "",
             {{"", counters.overdue_runs}});
  AddCounter(families, "ejections_total",
             "Endpoints left out for a while for failing what they ran", "",
             {{"", counters.ejections}});
}

}  // namespace

std::string FormatFleetMetrics(const FleetNode& node,
                               const PeerNetworkCounters& network,
                               uint64_t store_calls,
                               uint64_t connections,
                               uint64_t log_lines_left_out) {
  MetricFamilies families;
  AddReception(families, node.reception);
  AddScheduler(families, node.scheduler);
  AddGauge(families, "routes_version", "Version of the routes in force",
           node.routes.version);
  AddGauge(families, "view_revision", "Revision of the daemons' list",
           node.view.revision);
  AddGauge(families, "members", "Daemons in the list",
           node.view.members.size());
  AddCounter(families, "store_calls_total", "Calls to the platform's store", "",
             {{"", store_calls}});
  AddCounter(families, "store_failures_total",
             "Calls to the store that led to nothing", "cause",
             {{"turned_away", node.store.rejected_calls},
              {"unanswered", node.store.unanswered}});
  AddCounter(families, "connections_opened_total",
             "Connections opened to endpoints and the store", "",
             {{"", connections}});
  AddCounter(families, "log_lines_left_out_total",
             "Log lines beyond the rate, or that the output did not take", "",
             {{"", log_lines_left_out}});
  AddCounter(
      families, "peer_bytes_total", "Bytes between daemons", "way",
      {{"sent", network.bytes_sent}, {"received", network.bytes_received}});
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace dogwoodfall
