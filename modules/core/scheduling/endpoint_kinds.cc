#include "core/scheduling/endpoint_kinds.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <utility>

#include "core/scheduling/endpoint_runs.h"

namespace dogwoodfall {
namespace {

/** Runs after which an endpoint counts for the speed of its kind. The weight of
 * a run has reached its usual value of 0.2 then.
 */
constexpr uint32_t kMinObservedRuns = 4;
/** The same for an endpoint whose speed has started from that of its kind: its
 * start has a share of 0.8 to the tenth power, or 0.11, then.
 */
constexpr uint32_t kMinObservedRunsFromKind = 10;
/** Endpoints of a kind without which its speed is not known. */
constexpr size_t kMinEndpointsPerKind = 4;
/** Endpoints that are slower than the median of their kind by more than this
 * factor are slow for another reason. With a noise of 0.2 per run (standard
 * deviation of the logarithm) and a weight of 0.2, the learned slowness of
 * equal endpoints spreads by 0.07.
 */
constexpr double kMaxSlownessInKind = 2;
/** Share of failed runs above which an endpoint doesn't count. */
constexpr double kMaxFailureShare = 0.3;
/** Kinds with a smaller difference of the logarithms of slowness are alike. */
constexpr double kMinLogDifference = 0.1;
/** Standard errors by which the means of kinds have to differ. By Student's
 * distribution, two kinds that are alike differ by 4 in 0.7 % of the cases with
 * four endpoints of each and in 0.1 % with ten, by 3 in 2.4 % and 0.8 %.
 */
constexpr double kMinStandardErrors = 4;
/** Share of the threshold below which a difference is negligible. Between it
 * and the threshold, the former state holds, so that it doesn't alternate.
 */
constexpr double kNegligibleShare = 0.5;
constexpr Millis kUpdatePeriod{100};
/** How long a received speed waits for the view by which its endpoint is owned
 * here; peers send a missing view after 600 ms.
 */
constexpr Millis kMaxEarlySpeedAge{5'000};
constexpr double kMinReceivedSlowness = 0.2;
constexpr double kMaxReceivedSlowness = 20;

/** Logarithms of the slowness of endpoints, by kind. */
using LogsByKind = std::map<std::string, std::vector<double>>;

bool CountsForKind(const ManagedEndpoint& endpoint) {
  const uint32_t required_runs =
      endpoint.starts_from_kind ? kMinObservedRunsFromKind : kMinObservedRuns;
  return endpoint.status == EndpointStatus::kUsable && endpoint.is_registered &&
         !endpoint.is_held_for_reported_runs && !endpoint.is_ejected &&
         endpoint.failure_share <= kMaxFailureShare &&
         endpoint.observed_runs >= required_runs &&
         !endpoint.entry.kind.empty() &&
         endpoint.entry.kind.size() <= kMaxKindLength;
}

void RemoveSlowEndpoints(std::vector<double>& logs) {
  std::sort(logs.begin(), logs.end());
  const double limit = logs[logs.size() / 2] + std::log(kMaxSlownessInKind);
  logs.erase(std::upper_bound(logs.begin(), logs.end(), limit), logs.end());
}

LogsByKind CollectLogs(const Scheduler& scheduler) {
  LogsByKind logs_by_kind;
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    const bool is_counted = CountsForKind(endpoint) &&
                            (logs_by_kind.size() < kMaxKinds ||
                             logs_by_kind.count(endpoint.entry.kind) > 0);
    if (is_counted)
      logs_by_kind[endpoint.entry.kind].push_back(std::log(endpoint.slowness));
  }
  for (auto& [kind, logs] : logs_by_kind)
    RemoveSlowEndpoints(logs);
  return logs_by_kind;
}

KindSpeed Summarize(const std::string& kind, const std::vector<double>& logs) {
  KindSpeed speed;
  speed.kind = kind;
  speed.endpoints = static_cast<uint32_t>(logs.size());
  const auto count = static_cast<double>(logs.size());
  for (const double log : logs)
    speed.log_slowness += log / count;
  double squares = 0;
  for (const double log : logs)
    squares += (log - speed.log_slowness) * (log - speed.log_slowness);
  speed.log_spread = std::sqrt(squares / (count - 1));
  return speed;
}

/** Returns the speeds of the kinds with enough endpoints. */
std::vector<KindSpeed> SummarizeKinds(const Scheduler& scheduler) {
  std::vector<KindSpeed> kinds;
  for (const auto& [kind, logs] : CollectLogs(scheduler)) {
    if (logs.size() >= kMinEndpointsPerKind)
      kinds.push_back(Summarize(kind, logs));
  }
  return kinds;
}

/** Standard deviation within the kinds, from the endpoints of all of them. */
double ComputePooledSpread(const std::vector<KindSpeed>& kinds) {
  double squares = 0;
  double degrees_of_freedom = 0;
  for (const KindSpeed& kind : kinds) {
    const double degrees = kind.endpoints - 1.0;
    squares += degrees * kind.log_spread * kind.log_spread;
    degrees_of_freedom += degrees;
  }
  return std::sqrt(squares / degrees_of_freedom);
}

/** Compares the fastest and the slowest kind. */
KindDifference CompareKinds(const std::vector<KindSpeed>& kinds,
                            KindDifference former) {
  if (kinds.size() < 2)
    return former;
  const auto [fastest, slowest] = std::minmax_element(
      kinds.begin(), kinds.end(), [](const KindSpeed& a, const KindSpeed& b) {
        return a.log_slowness < b.log_slowness;
      });
  const double difference = slowest->log_slowness - fastest->log_slowness;
  const double spread = ComputePooledSpread(kinds);
  const double standard_error =
      spread * std::sqrt(1.0 / fastest->endpoints + 1.0 / slowest->endpoints);
  const double threshold = std::max(
      {kMinLogDifference, spread, kMinStandardErrors * standard_error});
  if (difference >= threshold)
    return KindDifference::kClear;
  return difference < kNegligibleShare * threshold ? KindDifference::kNone
                                                   : former;
}

const KindSpeed* FindIn(const std::vector<KindSpeed>& kinds,
                        const std::string& kind) {
  const auto found =
      std::find_if(kinds.begin(), kinds.end(),
                   [&kind](const KindSpeed& it) { return it.kind == kind; });
  return found == kinds.end() ? nullptr : &*found;
}

/** Logs the kinds of the second list that are not in the first. */
void LogNewKinds(const std::vector<KindSpeed>& former,
                 const std::vector<KindSpeed>& kinds,
                 const char* source,
                 Actions& actions) {
  for (const KindSpeed& kind : kinds) {
    if (FindIn(former, kind.kind) != nullptr)
      continue;
    actions.push_back(
        LogEvent{"endpoint_kind_known",
                 {{"kind", kind.kind},
                  {"slowness", std::to_string(std::exp(kind.log_slowness))},
                  {"log_spread", std::to_string(kind.log_spread)},
                  {"endpoints", std::to_string(kind.endpoints)},
                  {"source", source}}});
  }
}

void LearnKinds(Scheduler& scheduler, Actions& actions) {
  KindEstimates& estimates = scheduler.kinds;
  std::vector<KindSpeed> kinds = SummarizeKinds(scheduler);
  const KindDifference former = estimates.difference;
  estimates.difference = CompareKinds(kinds, former);
  if (former == KindDifference::kClear &&
      estimates.difference == KindDifference::kNone) {
    estimates.learned.clear();
    actions.push_back(LogEvent{"endpoint_kinds_alike",
                               {{"kinds", std::to_string(kinds.size())}}});
  }
  if (estimates.difference != KindDifference::kClear || kinds.size() < 2)
    return;
  LogNewKinds(estimates.learned, kinds, "own_endpoints", actions);
  estimates.learned = std::move(kinds);
}

void ForgetSpeed(ManagedEndpoint& endpoint) {
  endpoint.slowness = 1;
  endpoint.observed_runs = 0;
  endpoint.starts_from_kind = false;
  endpoint.speed_started_at_ms = 0;
}

/** Lets an endpoint with few or no runs start from its kind. Its slowness of 1
 * at first counts as one run beside those observed, so the kind's slowness
 * replaces it with the same share.
 */
void StartFromKind(const Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   const std::string& kind_name) {
  if (endpoint.observed_runs >= kMinObservedRuns)
    return;
  const bool has_started_before =
      endpoint.starts_from_kind && endpoint.observed_runs > 0;
  const KindSpeed* kind = FindKindSpeed(scheduler, kind_name);
  if (kind == nullptr || has_started_before)
    return;
  if (endpoint.starts_from_kind)
    endpoint.slowness = 1;
  endpoint.slowness *=
      std::exp(kind->log_slowness / (1.0 + endpoint.observed_runs));
  endpoint.starts_from_kind = true;
}

/** Forgets the speed of an endpoint if it was received for another
 * incarnation.
 */
void ForgetOutdatedSpeed(ManagedEndpoint& endpoint) {
  if (endpoint.speed_started_at_ms == 0 || endpoint.started_at_ms == 0)
    return;
  if (endpoint.speed_started_at_ms != endpoint.started_at_ms)
    ForgetSpeed(endpoint);
  endpoint.speed_started_at_ms = 0;
}

void ApplyReceivedSpeed(ManagedEndpoint& endpoint, const EndpointSpeed& speed) {
  const int64_t started_at_ms = MakeIncarnationEntry(endpoint).started_at_ms;
  const bool is_other_incarnation =
      started_at_ms != 0 && speed.endpoint.started_at_ms != 0 &&
      started_at_ms != speed.endpoint.started_at_ms;
  if (is_other_incarnation || speed.observed_runs <= endpoint.observed_runs)
    return;
  endpoint.slowness =
      std::clamp(speed.slowness, kMinReceivedSlowness, kMaxReceivedSlowness);
  endpoint.observed_runs = speed.observed_runs;
  endpoint.starts_from_kind = speed.starts_from_kind;
  endpoint.speed_started_at_ms = speed.endpoint.started_at_ms;
}

}  // namespace

double CountObservedRun(const SchedulingOptions& options,
                        ManagedEndpoint& endpoint,
                        double smoothing) {
  if (endpoint.observed_runs < UINT32_MAX)
    ++endpoint.observed_runs;
  if (!options.endpoint_kinds || endpoint.starts_from_kind)
    return smoothing;
  return std::max(smoothing, 1 / (1.0 + endpoint.observed_runs));
}

const KindSpeed* FindKindSpeed(const Scheduler& scheduler,
                               const std::string& kind) {
  const KindEstimates& estimates = scheduler.kinds;
  if (!scheduler.options.endpoint_kinds ||
      estimates.difference == KindDifference::kNone)
    return nullptr;
  const KindSpeed* learned = FindIn(estimates.learned, kind);
  return learned != nullptr ? learned : FindIn(estimates.reported, kind);
}

double GetInitialSlowness(const Scheduler& scheduler,
                          const EndpointEntry& entry) {
  const KindSpeed* kind = FindKindSpeed(scheduler, entry.kind);
  return kind != nullptr ? std::exp(kind->log_slowness) : 1;
}

void InitializeSpeed(Scheduler& scheduler, ManagedEndpoint& endpoint) {
  if (!scheduler.options.endpoint_kinds)
    return;
  const auto received = scheduler.kinds.received_early.find(endpoint.entry.id);
  if (received != scheduler.kinds.received_early.end()) {
    ApplyReceivedSpeed(endpoint, received->second.speed);
    scheduler.kinds.received_early.erase(received);
  }
  StartFromKind(scheduler, endpoint, endpoint.entry.kind);
}

void HandleKindChange(const Scheduler& scheduler,
                      ManagedEndpoint& endpoint,
                      const EndpointEntry& entry) {
  if (!scheduler.options.endpoint_kinds || endpoint.entry.kind == entry.kind)
    return;
  ForgetSpeed(endpoint);
  StartFromKind(scheduler, endpoint, entry.kind);
}

void UpdateEndpointKinds(Scheduler& scheduler, Millis now, Actions& actions) {
  if (!scheduler.options.endpoint_kinds)
    return;
  KindEstimates& estimates = scheduler.kinds;
  if (estimates.updated_at == Millis() ||
      now - estimates.updated_at >= kUpdatePeriod) {
    estimates.updated_at = now;
    LearnKinds(scheduler, actions);
    for (auto it = estimates.received_early.begin();
         it != estimates.received_early.end();) {
      const bool is_expired = now - it->second.received_at > kMaxEarlySpeedAge;
      it = is_expired ? estimates.received_early.erase(it) : std::next(it);
    }
  }
  for (auto& [id, endpoint] : scheduler.endpoints) {
    ForgetOutdatedSpeed(endpoint);
    StartFromKind(scheduler, endpoint, endpoint.entry.kind);
  }
}

void SetReportedKinds(Scheduler& scheduler,
                      const std::vector<const std::vector<KindSpeed>*>& reports,
                      Actions& actions) {
  if (!scheduler.options.endpoint_kinds)
    return;
  std::map<std::string, KindSpeed> totals;
  for (const std::vector<KindSpeed>* report : reports) {
    for (const KindSpeed& kind : *report) {
      const bool is_accepted =
          kind.endpoints > 0 && kind.kind.size() <= kMaxKindLength &&
          (totals.size() < kMaxKinds || totals.count(kind.kind) > 0);
      if (!is_accepted)
        continue;
      KindSpeed& total = totals[kind.kind];
      total.kind = kind.kind;
      const double former_count = total.endpoints;
      total.endpoints += std::min(kind.endpoints, UINT32_MAX - total.endpoints);
      const double former_share = former_count / total.endpoints;
      total.log_slowness = former_share * total.log_slowness +
                           (1 - former_share) * kind.log_slowness;
      total.log_spread = former_share * total.log_spread +
                         (1 - former_share) * kind.log_spread;
    }
  }
  if (totals.empty())
    return;
  std::vector<KindSpeed> kinds;
  kinds.reserve(totals.size());
  for (auto& [name, kind] : totals)
    kinds.push_back(std::move(kind));
  LogNewKinds(scheduler.kinds.reported, kinds, "other_owners", actions);
  scheduler.kinds.reported = std::move(kinds);
}

std::vector<KindSpeed> ListLearnedKinds(const Scheduler& scheduler) {
  if (!scheduler.options.endpoint_kinds || scheduler.endpoints.empty())
    return {};
  return scheduler.kinds.learned;
}

EndpointSpeed MakeEndpointSpeed(const ManagedEndpoint& endpoint) {
  EndpointSpeed speed;
  speed.endpoint = {endpoint.entry.id,
                    MakeIncarnationEntry(endpoint).started_at_ms};
  speed.slowness = endpoint.slowness;
  speed.observed_runs = endpoint.observed_runs;
  speed.starts_from_kind = endpoint.starts_from_kind;
  return speed;
}

void ReceiveEndpointSpeeds(Scheduler& scheduler,
                           const EndpointSpeedsNotice& notice,
                           Millis now) {
  if (!scheduler.options.endpoint_kinds)
    return;
  auto& early = scheduler.kinds.received_early;
  for (const EndpointSpeed& speed : notice.speeds) {
    const EndpointId& id = speed.endpoint.id;
    const auto known = scheduler.endpoints.find(id);
    if (known != scheduler.endpoints.end() &&
        !known->second.is_held_for_reported_runs)
      ApplyReceivedSpeed(known->second, speed);
    else if (early.size() < kMaxSpeedsPerNotice || early.count(id) > 0)
      early[id] = {speed, now};
  }
}

}  // namespace dogwoodfall
