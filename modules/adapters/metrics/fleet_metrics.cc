#include "adapters/metrics/fleet_metrics.h"

#include <prometheus/text_serializer.h>

#include <cmath>
#include <iterator>
#include <map>
#include <vector>

#include "adapters/metrics/metric_families.h"
#include "core/scheduling/load_trend.h"

namespace dogwoodfall {
namespace {

const char* GetJobResultLabel(size_t job_result) {
  constexpr const char* kNames[] = {"completed", "failed", "refused",
                                    "abandoned", "cancelled"};
  return job_result < std::size(kNames) ? kNames[job_result] : "other";
}

void AddReception(MetricFamilies& families, const Reception& reception) {
  const ReceptionCounters& counters = reception.counters;
  AddGauge(families, "jobs_pending", "Jobs whose callers wait for an answer",
           reception.pending.size());
  AddCounter(families, "jobs_received_total", "Jobs received from callers", "",
             {{"", counters.jobs}});
  AddCounter(families, "callers_gone_total",
             "Callers that disconnected before the answer", "",
             {{"", counters.callers_disconnected}});
  std::map<std::string, LatencyCounts> latencies;
  for (size_t job_result = 0; job_result < ReceptionCounters::kJobResultCount;
       ++job_result) {
    LatencyCounts& latency = latencies[GetJobResultLabel(job_result)];
    latency.counts.assign(std::begin(counters.latency[job_result]),
                          std::end(counters.latency[job_result]));
    latency.sum_ms = counters.latency_sum_ms[job_result];
  }
  AddLatency(families, "job_latency_ms",
             "Time from receiving a job to its answer in ms, by job result",
             "end",
             {std::begin(ReceptionCounters::kLatencyBoundsMs),
              std::end(ReceptionCounters::kLatencyBoundsMs)},
             latencies);
}

void AddKinds(MetricFamilies& families, const KindEstimates& kinds) {
  std::map<std::string, double> slowness;
  for (const KindSpeed& kind : kinds.learned)
    slowness[kind.kind] = std::exp(kind.log_slowness);
  AddGauges(families, "endpoint_kind_slowness",
            "Learned slowness of the kinds of endpoints, if they differ",
            "kind", slowness);
}

void AddScheduler(MetricFamilies& families, const Scheduler& scheduler) {
  const SchedulingCounters& counters = scheduler.counters;
  AddGauge(families, "endpoints_owned", "Endpoints owned by this daemon",
           scheduler.endpoints.size());
  AddGauge(families, "jobs_scheduled",
           "Jobs that this daemon schedules, running or waiting",
           scheduler.jobs.size());
  AddGauge(families, "jobs_waiting",
           "Jobs with tasks that wait for free capacity",
           scheduler.queue.size());
  AddCounter(families, "starts_total", "Start commands sent to endpoints", "",
             {{"", counters.starts}});
  std::map<std::string, uint64_t> outcomes;
  for (size_t i = 0; i <= static_cast<size_t>(CommandOutcome::kUnanswered); ++i)
    outcomes[dogwoodfall::NameOf(static_cast<CommandOutcome>(i))] =
        counters.start_outcomes[i];
  AddCounter(families, "start_outcomes_total", "Start commands by outcome",
             "outcome", outcomes);
  std::map<std::string, uint64_t> run_results;
  for (size_t i = 0; i <= static_cast<size_t>(RunResult::kOther); ++i)
    run_results[dogwoodfall::NameOf(static_cast<RunResult>(i))] =
        counters.run_results[i];
  AddCounter(families, "run_ends_total", "Ended runs by result", "how",
             run_results);
  AddCounter(families, "orders_total",
             "Commands to endpoints other than starts", "kind",
             {{"stop", counters.stops}, {"renewal", counters.renewals}});
  AddCounter(families, "run_time_predictions_total",
             "Predictions of run times from the distribution of a route", "",
             {{"", counters.run_time_predictions}});
  AddCounter(families, "runs_overdue_total",
             "Runs stopped because they far exceeded the expected run time", "",
             {{"", counters.overdue_runs}});
  AddCounter(families, "runs_of_long_jobs_total",
             "Runs that far exceeded the expected run time as their jobs are "
             "long",
             "", {{"", counters.runs_of_long_jobs}});
  AddCounter(families, "runs_relocated_total",
             "Runs stopped to start their tasks on a faster endpoint", "",
             {{"", counters.relocated_runs}});
  AddCounter(families, "runs_lost_total", "Runs lost with their endpoints", "",
             {{"", counters.lost_runs}});
  AddCounter(families, "job_leases_ended_total",
             "Jobs whose runs were stopped because their leases had ended", "",
             {{"", counters.ended_job_leases}});
  AddCounter(families, "jobs_unannounced_total",
             "Jobs ended because they were not acknowledged in time", "",
             {{"", counters.unannounced_jobs}});
  AddCounter(families, "jobs_scheduled_twice_total",
             "Jobs that another daemon schedules as well", "",
             {{"", counters.jobs_scheduled_twice}});
  AddCounter(families, "submissions_of_unknown_age_total",
             "Submissions whose age was not known on arrival", "",
             {{"", counters.submissions_of_unknown_age}});
  AddCounter(families, "tasks_given_up_total",
             "Tasks given up because they crash their endpoints", "",
             {{"", counters.given_up_tasks}});
  AddCounter(families, "ejections_total",
             "Ejections of endpoints because of failed runs", "",
             {{"", counters.ejections}});
  AddGauge(families, "kind_pairs_held_apart",
           "Pairs of kinds of tasks that are held apart",
           CountHeldApartPairs(scheduler.interference));
  AddCounter(families, "interference_found_total",
             "Kinds of tasks found to be slowed by another kind", "",
             {{"", counters.interference_found}});
  AddCounter(families, "starts_beside_held_apart_total",
             "Starts beside a kind that is held apart, for want of other room",
             "", {{"", counters.starts_beside_held_apart}});
  AddCounter(families, "packed_starts_total",
             "Starts of tasks that were chosen from a queue of several jobs",
             "", {{"", counters.packed_starts}});
  double rise_millicores = 0;
  for (const auto& [group, trend] : scheduler.load_trends)
    rise_millicores += ForecastRise(trend);
  AddGauge(families, "load_rise_millicores",
           "Rise of the load that is expected within the next second",
           static_cast<uint64_t>(rise_millicores));
  AddCounter(families, "capacity_reservations_total",
             "Urgent jobs that capacity was reserved for", "",
             {{"", counters.reservations}});
  AddCounter(families, "forecast_refusals_total",
             "Jobs refused because no capacity was forecast for them in time",
             "", {{"", counters.forecast_refusals}});
}

void AddEvacuation(MetricFamilies& families, const FleetNode& node) {
  std::map<std::string, double> zones;
  for (const auto& [zone, groups] : node.view.group_counts)
    zones[zone.value] = 0;
  for (const auto& [zone, revision] : node.evacuation.zones)
    zones[zone.value] = 1;
  AddGauges(families, "zone_evacuated",
            "1 for each zone that operators have evacuated, 0 for "
            "other zones with daemons",
            "zone", zones);
  AddGauge(families, "evacuation_revision",
           "Revision of the evacuated zones that are known; 0 for none",
           node.evacuation.revision);
  const EvacuationCounters& counters = node.evacuation_counters;
  AddCounter(families, "evacuation_jobs_total",
             "Jobs that an evacuation has affected, by what was done", "what",
             {{"assigned_elsewhere", counters.assigned_elsewhere},
              {"moved", counters.moved},
              {"refused", counters.refused},
              {"abandoned", counters.abandoned}});
}

}  // namespace

std::string FormatFleetMetrics(const FleetNode& node,
                               const PeerNetworkCounters& network,
                               uint64_t store_calls,
                               uint64_t connections,
                               uint64_t dropped_log_lines,
                               const HttpRefusalCounts& refusals,
                               uint64_t responses_given_up) {
  MetricFamilies families;
  AddReception(families, node.reception);
  AddScheduler(families, node.scheduler);
  AddEvacuation(families, node);
  AddKinds(families, node.scheduler.kinds);
  AddGauge(families, "routes_version", "Version of the active routes",
           node.routes.version);
  AddGauge(families, "view_revision", "Revision of the membership view",
           node.view.revision);
  AddGauge(families, "members", "Daemons in the membership view",
           node.view.members.size());
  AddCounter(families, "store_calls_total", "Calls to the platform's store", "",
             {{"", store_calls}});
  AddCounter(families, "store_failures_total",
             "Failed calls to the platform's store", "cause",
             {{"turned_away", node.store.rejected_calls},
              {"unanswered", node.store.unanswered}});
  AddCounter(families, "connections_opened_total",
             "Connections opened to endpoints and the store", "",
             {{"", connections}});
  AddCounter(families, "log_lines_left_out_total",
             "Log lines dropped because of the rate limit or a blocked output",
             "", {{"", dropped_log_lines}});
  AddCounter(
      families, "peer_bytes_total",
      "Bytes sent to and received from other daemons", "way",
      {{"sent", network.bytes_sent}, {"received", network.bytes_received}});
  AddRefusedClients(families, refusals, network.closed_memory_full,
                    responses_given_up);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace dogwoodfall
