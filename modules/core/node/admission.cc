#include "core/node/admission.h"

#include <algorithm>

#include "core/limits/shares.h"

namespace dogwoodfall {
namespace {

bool FitsSomewhere(const Node& node,
                   const PlanLimits& limits,
                   const TaskSpec& task) {
  const auto& endpoints = node.membership.endpoints;
  // An empty list says nothing of which endpoints there are.
  if (endpoints.empty())
    return true;
  return std::any_of(
      endpoints.begin(), endpoints.end(), [&](const auto& entry) {
        return task.declared_memory_mb <= entry.second.member.memory_mb &&
               MayUse(limits, entry.first);
      });
}

uint64_t QueuedEverywhere(const Node& node, const CustomerId& customer) {
  uint64_t queued = SizeOf(node.dispatch.queue, customer);
  for (const auto& [id, known] : node.membership.daemons) {
    for (const CustomerDemand& demand : known.latest.demands)
      queued += demand.customer == customer ? demand.queued : 0;
  }
  return queued;
}

/** Samples of a kind before a deadline is refused for it. */
constexpr uint32_t kSamplesToRefuse = 10;

uint32_t AllSlots(const Node& node) {
  uint32_t slots = 0;
  for (const auto& [id, known] : node.membership.endpoints)
    slots += known.listed && !known.leaving ? known.member.slots : 0;
  return std::max(slots, 1U);
}

/** Least time until the last task could end, as far as run times are known;
 * declared times are not trusted to refuse work.
 */
Millis LeastTime(const Node& node, const SubmissionRecord& record) {
  Millis longest;
  for (const TaskRecord& task : record.tasks) {
    const RunTimeEstimate* learned = FindRunTimeEstimate(
        node.dispatch.run_times, record.customer, task.spec.kind);
    if (learned == nullptr || learned->samples < kSamplesToRefuse)
      continue;
    const double least = learned->mean_ms - 2 * learned->deviation_ms;
    longest = std::max(longest, Millis{static_cast<int64_t>(least)});
  }
  return longest;
}

uint64_t DemandOf(const Heartbeat& heartbeat, const CustomerId& customer) {
  for (const CustomerDemand& demand : heartbeat.demands) {
    if (demand.customer == customer)
      return uint64_t{demand.running} + demand.queued;
  }
  return 0;
}

/** What every daemon within reach, this one included, wants for a customer. */
std::vector<ShareDemand> DemandsFor(const Node& node,
                                    const CustomerId& customer,
                                    Millis now) {
  std::vector<ShareDemand> demands;
  demands.push_back({node.settings.self.id,
                     SizeOf(node.dispatch.queue, customer) +
                         uint64_t{CountRunning(node.dispatch, customer)}});
  for (const DaemonRef& peer :
       ReachablePeers(node.membership, node.settings.membership, now)) {
    demands.push_back(
        {peer.id,
         DemandOf(node.membership.daemons.at(peer.id).latest, customer)});
  }
  return demands;
}

/** The part of a limit that the daemons within reach may use together. */
uint32_t LimitWithinReach(const Node& node, uint32_t limit, size_t within) {
  size_t all = 1;
  for (const auto& [id, known] : node.membership.daemons)
    all += known.listed ? 1 : 0;
  all = std::max(all, within);
  return static_cast<uint32_t>(uint64_t{limit} * within / all);
}

}  // namespace

std::optional<Answer> CheckAdmission(const Node& node,
                                     const SubmissionRecord& record,
                                     Millis now) {
  const Millis pause = node.settings.retry_pause;
  if (node.is_expelled)
    return RefusedAnswer(record.id, ResultCode::kDraining, pause);
  if (node.configuration.revision == 0)
    return RefusedAnswer(record.id, ResultCode::kNotReady, pause);
  const PlanLimits* limits = FindLimits(node.configuration, record.customer);
  if (limits == nullptr)
    return RefusedAnswer(record.id, ResultCode::kUnknownCustomer);
  if (record.id_timestamp > now + node.settings.claims.clock_skew)
    return RefusedAnswer(record.id, ResultCode::kIdFromTheFuture);
  if (node.ledger.records.size() > node.settings.ledger.max_records)
    return RefusedAnswer(record.id, ResultCode::kLedgerFull, pause);
  for (const TaskRecord& task : record.tasks) {
    if (!FitsSomewhere(node, *limits, task.spec))
      return RefusedAnswer(record.id, ResultCode::kNoEndpointFits);
  }
  if (QueuedEverywhere(node, record.customer) + record.tasks.size() >
      limits->queued_tasks)
    return RefusedAnswer(record.id, ResultCode::kQueueFull, pause);
  if (now + LeastTime(node, record) >= record.deadline)
    return RefusedAnswer(record.id, ResultCode::kDeadlineUnreachable);
  return std::nullopt;
}

Millis IdealTime(const Node& node, const std::vector<TaskOutcome>& outcomes) {
  Millis longest;
  Millis total;
  for (const TaskOutcome& outcome : outcomes) {
    longest = std::max(longest, outcome.run_time);
    total = total + outcome.run_time;
  }
  return std::max(longest, Millis{total.count / AllSlots(node)});
}

uint32_t ShareOfTasksAtOnce(const Node& node,
                            const CustomerId& customer,
                            const PlanLimits& limits,
                            Millis now) {
  const std::vector<ShareDemand> demands = DemandsFor(node, customer, now);
  const uint32_t within =
      LimitWithinReach(node, limits.tasks_at_once, demands.size());
  return ShareOf(within, demands, node.settings.self.id);
}

double ShareOfStarts(const Node& node,
                     const CustomerId& customer,
                     const PlanLimits& limits,
                     Millis now) {
  const std::vector<ShareDemand> demands = DemandsFor(node, customer, now);
  const uint32_t within =
      LimitWithinReach(node, limits.starts_per_second, demands.size());
  return ShareOf(within, demands, node.settings.self.id);
}

}  // namespace dogwoodfall
