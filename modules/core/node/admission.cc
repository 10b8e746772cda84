#include "core/node/admission.h"

#include <algorithm>

#include "core/limits/shares.h"

namespace dogwoodfall {
namespace {

bool FitsAnyEndpoint(const Node& node,
                     const PlanLimits& limits,
                     const TaskSpec& task) {
  const auto& endpoints = node.membership.endpoints;
  // Without endpoints in the list it is not known which endpoints exist.
  if (endpoints.empty())
    return true;
  return std::any_of(
      endpoints.begin(), endpoints.end(), [&](const auto& entry) {
        return task.declared_memory_mb <= entry.second.member.memory_mb &&
               MayUse(limits, entry.first);
      });
}

uint64_t CountQueuedOnAllDaemons(const Node& node, const CustomerId& customer) {
  uint64_t queued = SizeOf(node.dispatch.queue, customer);
  for (const auto& [id, known] : node.membership.daemons) {
    for (const CustomerDemand& demand : known.last_heartbeat.demands)
      queued += demand.customer == customer ? demand.queued : 0;
  }
  return queued;
}

/** Number of run time samples of a task kind that are needed before a
 * submission is refused because its deadline can't be met.
 */
constexpr uint32_t kMinSamplesToRefuse = 10;

uint32_t CountAvailableSlots(const Node& node) {
  uint32_t slots = 0;
  for (const auto& [id, known] : node.membership.endpoints)
    slots += known.listed && !known.leaving ? known.member.slots : 0;
  return std::max(slots, 1U);
}

/** Estimates the minimum time until the last task could end, from measured run
 * times. Declared run times are not used, since a wrong declaration must not
 * cause a refusal.
 */
Millis EstimateMinCompletionTime(const Node& node,
                                 const SubmissionRecord& record) {
  Millis max_time;
  for (const TaskRecord& task : record.tasks) {
    const RunTimeEstimate* estimate = FindRunTimeEstimate(
        node.dispatch.run_times, record.customer, task.spec.kind);
    if (estimate == nullptr || estimate->samples < kMinSamplesToRefuse)
      continue;
    const double min_ms = estimate->mean_ms - 2 * estimate->deviation_ms;
    max_time = std::max(max_time, Millis{static_cast<int64_t>(min_ms)});
  }
  return max_time;
}

uint64_t FindDemand(const Heartbeat& heartbeat, const CustomerId& customer) {
  for (const CustomerDemand& demand : heartbeat.demands) {
    if (demand.customer == customer)
      return uint64_t{demand.running} + demand.queued;
  }
  return 0;
}

/** Returns the demand of a customer at each reachable daemon, including this
 * one.
 */
std::vector<ShareDemand> CollectDemands(const Node& node,
                                        const CustomerId& customer,
                                        Millis now) {
  std::vector<ShareDemand> demands;
  demands.push_back({node.settings.self.id,
                     SizeOf(node.dispatch.queue, customer) +
                         uint64_t{CountRunning(node.dispatch, customer)}});
  for (const DaemonRef& peer :
       ReachablePeers(node.membership, node.settings.membership, now)) {
    demands.push_back(
        {peer.id, FindDemand(node.membership.daemons.at(peer.id).last_heartbeat,
                             customer)});
  }
  return demands;
}

/** Returns the part of a limit that the reachable daemons may use together. */
uint32_t ScaleLimitToReachable(const Node& node,
                               uint32_t limit,
                               size_t reachable_count) {
  size_t daemon_count = 1;
  for (const auto& [id, known] : node.membership.daemons)
    daemon_count += known.listed ? 1 : 0;
  daemon_count = std::max(daemon_count, reachable_count);
  return static_cast<uint32_t>(uint64_t{limit} * reachable_count /
                               daemon_count);
}

}  // namespace

std::optional<Answer> CheckAdmission(const Node& node,
                                     const SubmissionRecord& record,
                                     Millis now) {
  const Millis delay = node.settings.retry_delay;
  if (node.is_expelled)
    return RefusedAnswer(record.id, ResultCode::kDraining, delay);
  if (node.configuration.revision == 0)
    return RefusedAnswer(record.id, ResultCode::kNotReady, delay);
  const PlanLimits* limits = FindLimits(node.configuration, record.customer);
  if (limits == nullptr)
    return RefusedAnswer(record.id, ResultCode::kUnknownCustomer);
  if (record.id_timestamp > now + node.settings.claims.clock_skew)
    return RefusedAnswer(record.id, ResultCode::kIdFromTheFuture);
  if (node.ledger.records.size() > node.settings.ledger.max_records)
    return RefusedAnswer(record.id, ResultCode::kLedgerFull, delay);
  for (const TaskRecord& task : record.tasks) {
    if (!FitsAnyEndpoint(node, *limits, task.spec))
      return RefusedAnswer(record.id, ResultCode::kNoEndpointFits);
  }
  if (CountQueuedOnAllDaemons(node, record.customer) + record.tasks.size() >
      limits->queued_tasks)
    return RefusedAnswer(record.id, ResultCode::kQueueFull, delay);
  if (now + EstimateMinCompletionTime(node, record) >= record.deadline)
    return RefusedAnswer(record.id, ResultCode::kDeadlineUnreachable);
  return std::nullopt;
}

Millis ComputeIdealTime(const Node& node,
                        const std::vector<TaskOutcome>& outcomes) {
  Millis max_run_time;
  Millis total_run_time;
  for (const TaskOutcome& outcome : outcomes) {
    max_run_time = std::max(max_run_time, outcome.run_time);
    total_run_time = total_run_time + outcome.run_time;
  }
  return std::max(max_run_time,
                  Millis{total_run_time.count / CountAvailableSlots(node)});
}

uint32_t ComputeConcurrentTaskShare(const Node& node,
                                    const CustomerId& customer,
                                    const PlanLimits& limits,
                                    Millis now) {
  const std::vector<ShareDemand> demands = CollectDemands(node, customer, now);
  const uint32_t reachable_limit =
      ScaleLimitToReachable(node, limits.tasks_at_once, demands.size());
  return ShareOf(reachable_limit, demands, node.settings.self.id);
}

double ComputeStartRateShare(const Node& node,
                             const CustomerId& customer,
                             const PlanLimits& limits,
                             Millis now) {
  const std::vector<ShareDemand> demands = CollectDemands(node, customer, now);
  const uint32_t reachable_limit =
      ScaleLimitToReachable(node, limits.starts_per_second, demands.size());
  return ShareOf(reachable_limit, demands, node.settings.self.id);
}

}  // namespace dogwoodfall
