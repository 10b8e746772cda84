#include "core/scheduling/interference.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "core/scheduling/job_order.h"
#include "core/scheduling/scheduler.h"

namespace dogwoodfall {
namespace {

constexpr size_t kAlone = kInterferenceKindCount;
constexpr size_t kAllRuns = kInterferenceKindCount;

/** Runs with and without the neighbour that a separation needs. */
constexpr double kMinRuns = 40;
/** Runs beside the neighbour below which a separation ends. */
constexpr double kMinRunsToHold = 10;
/** Ratio of run times from which kinds are separated, and below which the
 * separation ends. Callers hardly notice a smaller one.
 */
constexpr double kMinRatio = 1.15;
constexpr double kMinRatioToHold = 1.07;
/** Number of standard errors by which a difference must exceed zero. Up to
 * 1,000 pairs are examined each second, on evidence that is renewed once in a
 * half-life, so that 3 would be exceeded by chance.
 */
constexpr double kMinStandardErrors = 3.5;
/** Factor on the variance of a mean: the tasks of a job are compared with each
 * other, so that their deviations are not independent.
 */
constexpr double kJobCorrelation = 2;
/** Variance of the logarithm of run times between the tasks of a job
 * (0.15 squared), the least that is assumed.
 */
constexpr double kTaskVariance = 0.0225;
/** Weight of a task without others to compare it with, relative to one with
 * many: 0.15 squared over the sum of 0.15 squared and 0.28 squared.
 */
constexpr double kSingleTaskWeight = 0.22;
/** Bound of a deviation; larger ones have other causes. */
constexpr double kMaxDeviation = 1;
/** Half-life of the evidence. It is shorter than a change of what the routes
 * run matters to callers, and covers several waves of demand.
 */
constexpr double kHalfLifeMs = 60'000;
/** Maximum number of runs that the evidence of a pair counts as, so that it
 * decays within minutes whatever the number of runs was.
 */
constexpr double kMaxRuns = 200;
constexpr Millis kReviewPeriod{1'000};
/** Successful runs on an endpoint before its runs count: after them, its
 * learned slowness has covered 0.96 of the distance to the right one. Cold
 * endpoints are left out by this, too.
 */
constexpr uint32_t kMinSuccesses = 15;
/** Slowness relative to the median above which an endpoint's runs don't count.
 */
constexpr double kMaxRelativeSlowness = 1.5;
constexpr double kMaxFailureShare = 0.1;
/** Idle time after which the number of a kind may be given to another one. No
 * run lasts as long.
 */
constexpr Millis kKindRetention{60'000};
/** Runs that a received estimate counts as; it holds a pair apart while it
 * counts as half of them, and its own evidence soon outweighs it.
 */
constexpr double kReceivedRuns = 10;
constexpr double kMinReceivedRuns = 5;
/** Bound of the slope of the logarithm of run times over the crowding. */
constexpr double kMaxCrowdingSlope = 2;

uint64_t BitOf(uint8_t kind) {
  return uint64_t{1} << kind;
}

/** Returns the name of the kind of a job's tasks. Steps name no image yet. */
const std::string& GetKindName(const ScheduledJob& job) {
  return job.job.route;
}

uint8_t FindKind(const Interference& interference, const std::string& name) {
  const auto found = interference.numbers.find(name);
  return found == interference.numbers.end() ? kOtherKinds : found->second;
}

/** Removes all that is known of a kind, as its number is given to another one.
 */
void ForgetKind(Interference& interference, uint8_t number) {
  for (InterferenceKind& kind : interference.kinds) {
    kind.sums.at(number) = InterferenceSums();
    kind.slowed_by &= ~BitOf(number);
    kind.known_slowed_by &= ~BitOf(number);
    kind.held_apart &= ~BitOf(number);
    kind.received.erase(number);
  }
  interference.numbers.erase(interference.kinds[number].name);
  interference.kinds[number] = InterferenceKind();
}

/** Returns the number of a kind. A new one gets the number of the kind that was
 * idle for longest, or is kOtherKinds when all are in use.
 */
uint8_t GetOrAddKind(Interference& interference,
                     const std::string& name,
                     Millis now) {
  std::vector<InterferenceKind>& kinds = interference.kinds;
  if (kinds.empty()) {
    kinds.emplace_back();
    interference.reviewed_at = now;
  }
  const uint8_t known = FindKind(interference, name);
  if (known != kOtherKinds) {
    kinds[known].used_at = now;
    return known;
  }
  size_t number = kinds.size();
  if (number < kInterferenceKindCount) {
    kinds.emplace_back();
  } else {
    const auto oldest = std::min_element(
        kinds.begin() + 1, kinds.end(),
        [](const InterferenceKind& a, const InterferenceKind& b) {
          return a.used_at < b.used_at;
        });
    if (now - oldest->used_at < kKindRetention)
      return kOtherKinds;
    number = static_cast<size_t>(oldest - kinds.begin());
    ForgetKind(interference, static_cast<uint8_t>(number));
  }
  kinds[number].name = name;
  kinds[number].used_at = now;
  interference.numbers[name] = static_cast<uint8_t>(number);
  return static_cast<uint8_t>(number);
}

void Advance(NeighbourTimes& times, Millis now) {
  const int64_t elapsed = now.count - times.updated_at.count;
  times.updated_at = now;
  if (elapsed <= 0)
    return;
  for (NeighbourTimes::Presence& presence : times.presences) {
    if (presence.runs > 0)
      presence.any_ms += static_cast<uint32_t>(elapsed);
    if (presence.runs > 1)
      presence.several_ms += static_cast<uint32_t>(elapsed);
  }
  times.millicore_ms += times.millicores * elapsed;
}

/** Returns the time with a neighbour of a kind, or with any for kAllRuns, as
 * seen by a run of a kind.
 */
uint32_t ReadTime(const NeighbourTimes& times, size_t of, uint8_t kind) {
  const NeighbourTimes::Presence& presence = times.presences[of];
  return of == kAllRuns || of == kind ? presence.several_ms : presence.any_ms;
}

void CountRun(ManagedEndpoint& endpoint, Run& run, uint8_t kind, Millis now) {
  NeighbourTimes& times = endpoint.neighbour_times;
  times.presences.resize(kInterferenceKindCount + 1);
  Advance(times, now);
  run.neighbours.is_counted = true;
  run.neighbours.kind = kind;
  run.neighbours.millicores = run.resources.cpu_millicores;
  ++times.presences[kind].runs;
  ++times.presences[kAllRuns].runs;
  times.kinds_present |= BitOf(kind);
  times.millicores += run.neighbours.millicores;
  RecordNeighboursAtStart(endpoint, run, now);
}

/** Returns true when the run times of an endpoint can be compared with those of
 * others: it is neither slow nor failing, and its speed is known.
 */
bool IsSound(const Scheduler& scheduler,
             const ManagedEndpoint& endpoint,
             Millis now) {
  return endpoint.status == EndpointStatus::kUsable && !endpoint.is_ejected &&
         endpoint.unanswered == 0 && endpoint.backoff_until <= now &&
         endpoint.failure_share <= kMaxFailureShare &&
         endpoint.neighbour_times.successes > kMinSuccesses &&
         endpoint.slowness <= kMaxRelativeSlowness * scheduler.median_slowness;
}

void AddNeighbourShares(const ManagedEndpoint& endpoint,
                        const Run& run,
                        Millis run_time,
                        RunSample& sample) {
  const NeighbourTimes& times = endpoint.neighbour_times;
  const RunNeighbours& neighbours = run.neighbours;
  const auto run_time_ms = static_cast<double>(run_time.count);
  const auto get_share = [&](size_t of) {
    const uint32_t elapsed =
        ReadTime(times, of, neighbours.kind) - neighbours.ms_at_start[of];
    return std::min(static_cast<double>(elapsed) / run_time_ms, 1.0);
  };
  sample.kind = neighbours.kind;
  sample.alone_share = 1 - get_share(kAllRuns);
  for (uint8_t kind = 0; kind < kInterferenceKindCount; ++kind) {
    const double share = get_share(kind);
    if (share > 0)
      sample.shares.emplace_back(kind, share);
  }
  const auto used = static_cast<double>(times.millicore_ms -
                                        neighbours.millicore_ms_at_start) -
                    static_cast<double>(neighbours.millicores) * run_time_ms;
  const auto capacity = static_cast<double>(
      std::max<int64_t>(endpoint.entry.capacity.cpu_millicores, 1));
  sample.crowding = std::clamp(used / (capacity * run_time_ms), 0.0, 1.0);
}

void AddToSums(InterferenceSums& sums,
               double weight,
               double deviation,
               double crowding) {
  sums.weight += weight;
  sums.squared_weight += weight * weight;
  sums.deviation += weight * deviation;
  sums.squared_deviation += weight * deviation * deviation;
  sums.crowding += weight * crowding;
}

/** Attributes the deviation of a run to the kinds that ran beside it. A run
 * beside several kinds at once counts less for each of them.
 */
void AttributeDeviation(InterferenceKind& kind,
                        const RunSample& sample,
                        double weight,
                        double deviation) {
  double total_share = 0;
  for (const auto& [neighbour, share] : sample.shares)
    total_share += share;
  for (const auto& [neighbour, share] : sample.shares) {
    AddToSums(kind.sums.at(neighbour), weight * share * share / total_share,
              deviation, sample.crowding);
  }
  if (sample.alone_share > 0)
    AddToSums(kind.sums.at(kAlone), weight * sample.alone_share, deviation,
              sample.crowding);
}

double GetRuns(const InterferenceSums& sums) {
  return sums.squared_weight > 0
             ? sums.weight * sums.weight / sums.squared_weight
             : 0;
}

void Scale(InterferenceSums& sums, double factor) {
  sums.weight *= factor;
  sums.squared_weight *= factor;
  sums.deviation *= factor;
  sums.squared_deviation *= factor;
  sums.crowding *= factor;
}

void Add(InterferenceSums& sums, const InterferenceSums& other) {
  sums.weight += other.weight;
  sums.squared_weight += other.squared_weight;
  sums.deviation += other.deviation;
  sums.squared_deviation += other.squared_deviation;
  sums.crowding += other.crowding;
}

double GetVarianceOfMean(const InterferenceSums& sums) {
  const double mean = sums.deviation / sums.weight;
  const double variance = std::max(
      sums.squared_deviation / sums.weight - mean * mean, kTaskVariance);
  return kJobCorrelation * variance / GetRuns(sums);
}

/** A difference between mean logarithms of run times. */
struct Difference {
  double value = 0;
  double standard_error = 0;
};

/** @param crowding_slope part of the difference that is due to the crowding */
Difference Compare(const InterferenceSums& with,
                   const InterferenceSums& without,
                   double crowding_slope) {
  const auto get_mean = [crowding_slope](const InterferenceSums& sums) {
    return (sums.deviation - crowding_slope * sums.crowding) / sums.weight;
  };
  return {get_mean(with) - get_mean(without),
          std::sqrt(GetVarianceOfMean(with) + GetVarianceOfMean(without))};
}

/** How a kind runs beside one neighbour. */
struct NeighbourEffect {
  /** Runs beside the neighbour, beside others only, and without it. */
  double runs = 0;
  double other_runs = 0;
  double runs_without = 0;
  /** Logarithm of the ratio of run times; 0 without runs to compare. */
  double log_ratio = 0;
  bool is_beyond_noise = false;
};

/** Compares the runs beside a neighbour with all others, and with those beside
 * other neighbours. The latter comparison, corrected by the crowding, shows
 * whether this neighbour slows the kind, or a crowded endpoint does. The
 * smaller difference counts.
 */
NeighbourEffect EstimateEffect(const InterferenceKind& kind,
                               uint8_t neighbour,
                               double crowding_slope) {
  InterferenceSums others;
  for (size_t number = 0; number < kInterferenceKindCount; ++number) {
    if (number != neighbour)
      Add(others, kind.sums.at(number));
  }
  InterferenceSums without = others;
  Add(without, kind.sums.at(kAlone));
  const InterferenceSums& with = kind.sums.at(neighbour);
  NeighbourEffect effect;
  effect.runs = GetRuns(with);
  effect.other_runs = GetRuns(others);
  effect.runs_without = GetRuns(without);
  if (with.weight <= 0 || others.weight <= 0)
    return effect;
  const Difference to_others = Compare(with, others, crowding_slope);
  const Difference to_all = Compare(with, without, 0);
  effect.log_ratio = std::min(to_others.value, to_all.value);
  effect.is_beyond_noise =
      to_others.value > kMinStandardErrors * to_others.standard_error &&
      to_all.value > kMinStandardErrors * to_all.standard_error;
  return effect;
}

/** Decides from the runs here whether a neighbour slows a kind. */
bool IsSlowedBy(const NeighbourEffect& effect, bool was_slowed) {
  if (was_slowed) {
    // Without runs beside others there is nothing new to compare with.
    return effect.runs >= kMinRunsToHold &&
           (effect.other_runs < kMinRunsToHold ||
            effect.log_ratio >= std::log(kMinRatioToHold));
  }
  return effect.runs >= kMinRuns && effect.other_runs >= kMinRuns &&
         effect.runs_without >= kMinRuns && effect.is_beyond_noise &&
         effect.log_ratio >= std::log(kMinRatio);
}

/** Returns true while a received estimate holds a pair apart: until it has
 * decayed, or the runs here contradict it.
 */
bool IsReceivedValid(const ReceivedInterference& received,
                     const NeighbourEffect& effect) {
  if (received.runs < kMinReceivedRuns)
    return false;
  const bool is_comparable =
      effect.runs >= kMinRunsToHold && effect.other_runs >= kMinRunsToHold;
  const double runs = is_comparable ? effect.runs : 0;
  const double combined =
      (received.runs * received.log_ratio + runs * effect.log_ratio) /
      (received.runs + runs);
  return combined >= std::log(kMinRatioToHold);
}

void Decay(Interference& interference, Millis now) {
  const auto elapsed_ms =
      static_cast<double>((now - interference.reviewed_at).count);
  const double factor = std::exp2(-elapsed_ms / kHalfLifeMs);
  for (InterferenceKind& kind : interference.kinds) {
    for (InterferenceSums& sums : kind.sums) {
      const double runs = GetRuns(sums);
      Scale(sums, runs > kMaxRuns ? kMaxRuns / runs : factor);
    }
    for (auto& [neighbour, received] : kind.received)
      received.runs *= factor;
  }
  interference.crowding_square *= factor;
  interference.crowding_deviation *= factor;
}

double EstimateCrowdingSlope(const Interference& interference) {
  // Equals one run with half of the endpoint more in use than on average.
  constexpr double kPriorSquare = 0.25;
  return std::clamp(interference.crowding_deviation /
                        (interference.crowding_square + kPriorSquare),
                    0.0, kMaxCrowdingSlope);
}

void LogPair(const char* name,
             const Interference& interference,
             uint8_t kind,
             uint8_t neighbour,
             const NeighbourEffect& effect,
             Actions& actions) {
  const InterferenceKind& slowed = interference.kinds[kind];
  const auto received = slowed.received.find(neighbour);
  const bool is_own = (slowed.slowed_by & BitOf(neighbour)) != 0 ||
                      received == slowed.received.end();
  const double log_ratio =
      is_own ? effect.log_ratio : received->second.log_ratio;
  actions.push_back(LogEvent{
      name,
      {{"kind", slowed.name},
       {"neighbour", interference.kinds[neighbour].name},
       {"ratio", std::to_string(std::exp(log_ratio))},
       {"runs", std::to_string(std::llround(effect.runs))},
       {"runs_without", std::to_string(std::llround(effect.runs_without))},
       {"source", is_own ? "runs" : "peer"}}});
}

/** Updates whether a kind is held apart from a neighbour that slows it. */
void ReviewPair(Scheduler& scheduler,
                uint8_t number,
                uint8_t neighbour,
                double crowding_slope,
                Actions& actions) {
  Interference& interference = scheduler.interference;
  InterferenceKind& kind = interference.kinds[number];
  const uint64_t bit = BitOf(neighbour);
  if (kind.sums.at(neighbour).weight <= 0 && kind.received.empty() &&
      (kind.known_slowed_by & bit) == 0)
    return;  // Most pairs have never met.
  const NeighbourEffect effect =
      EstimateEffect(kind, neighbour, crowding_slope);
  const bool was_own = (kind.slowed_by & bit) != 0;
  const bool is_own = IsSlowedBy(effect, was_own);
  const auto received = kind.received.find(neighbour);
  const bool is_received = received != kind.received.end() &&
                           IsReceivedValid(received->second, effect);
  const bool was_slowed = was_own || (kind.known_slowed_by & bit) != 0;
  const bool is_slowed = is_own || is_received;
  if (was_slowed && !is_slowed)
    LogPair("interference_gone", interference, number, neighbour, effect,
            actions);
  interference.is_changed |= is_own != was_own;
  kind.slowed_by = is_own ? kind.slowed_by | bit : kind.slowed_by & ~bit;
  kind.known_slowed_by =
      is_slowed ? kind.known_slowed_by | bit : kind.known_slowed_by & ~bit;
  if (!is_slowed && received != kind.received.end())
    kind.received.erase(received);
  if (is_slowed && !was_slowed) {
    ++scheduler.counters.interference_found;
    LogPair("interference_found", interference, number, neighbour, effect,
            actions);
  }
}

void UpdateHeldApart(Interference& interference) {
  std::vector<InterferenceKind>& kinds = interference.kinds;
  for (InterferenceKind& kind : kinds)
    kind.held_apart = kind.known_slowed_by;
  for (size_t number = 1; number < kinds.size(); ++number) {
    for (size_t neighbour = 1; neighbour < kinds.size(); ++neighbour) {
      if ((kinds[number].known_slowed_by &
           BitOf(static_cast<uint8_t>(neighbour))) != 0)
        kinds[neighbour].held_apart |= BitOf(static_cast<uint8_t>(number));
    }
  }
}

}  // namespace

uint64_t GetHeldApartKinds(const Scheduler& scheduler,
                           const ScheduledJob& job) {
  const Interference& interference = scheduler.interference;
  if (interference.kinds.empty())
    return 0;
  return interference.kinds[FindKind(interference, GetKindName(job))]
      .held_apart;
}

bool IsHeldApart(const Interference& interference,
                 const std::string& kind,
                 const std::string& other) {
  const uint8_t number = FindKind(interference, kind);
  const uint8_t other_number = FindKind(interference, other);
  return number != kOtherKinds && other_number != kOtherKinds &&
         (interference.kinds[number].held_apart & BitOf(other_number)) != 0;
}

size_t CountHeldApartPairs(const Interference& interference) {
  size_t count = 0;
  for (size_t number = 1; number < interference.kinds.size(); ++number) {
    // Each pair is counted with the larger number, a kind with itself once.
    for (size_t other = 1; other <= number; ++other) {
      if ((interference.kinds[number].held_apart &
           BitOf(static_cast<uint8_t>(other))) != 0)
        ++count;
    }
  }
  return count;
}

void CountPlacedRun(Scheduler& scheduler,
                    ManagedEndpoint& endpoint,
                    const ScheduledJob& job,
                    Run& run,
                    Millis now) {
  if (!scheduler.options.interference)
    return;
  Interference& interference = scheduler.interference;
  const uint8_t kind = GetOrAddKind(interference, GetKindName(job), now);
  if ((interference.kinds[kind].held_apart &
       endpoint.neighbour_times.kinds_present) != 0)
    ++scheduler.counters.starts_beside_held_apart;
  CountRun(endpoint, run, kind, now);
}

void CountFoundRun(const Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   Run& run,
                   Millis now) {
  if (scheduler.options.interference)
    CountRun(endpoint, run, kOtherKinds, now);
}

void RecordNeighboursAtStart(ManagedEndpoint& endpoint, Run& run, Millis now) {
  if (!run.neighbours.is_counted)
    return;
  NeighbourTimes& times = endpoint.neighbour_times;
  Advance(times, now);
  std::vector<uint32_t>& ms_at_start = run.neighbours.ms_at_start;
  ms_at_start.resize(kInterferenceKindCount + 1);
  for (size_t of = 0; of < ms_at_start.size(); ++of)
    ms_at_start[of] = ReadTime(times, of, run.neighbours.kind);
  run.neighbours.millicore_ms_at_start = times.millicore_ms;
}

void UncountRun(ManagedEndpoint& endpoint, const Run& run, Millis now) {
  if (!run.neighbours.is_counted)
    return;
  NeighbourTimes& times = endpoint.neighbour_times;
  Advance(times, now);
  const uint8_t kind = run.neighbours.kind;
  --times.presences[kAllRuns].runs;
  if (--times.presences[kind].runs == 0)
    times.kinds_present &= ~BitOf(kind);
  times.millicores -= run.neighbours.millicores;
}

void RecordRunSample(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     const JobTask& task,
                     const Run& run,
                     Millis now) {
  const auto job = scheduler.jobs.find(task.job);
  if (!scheduler.options.interference || job == scheduler.jobs.end())
    return;
  ++endpoint.neighbour_times.successes;
  const Millis run_time = now - run.start_sent_at;
  // The start of a found run, and of one whose start was not answered, is not
  // known; a run that was stopped may have ended early.
  if (run.neighbours.kind == kOtherKinds ||
      run.start_unanswered_at != Millis() || run.state == RunState::kStopping ||
      run_time <= Millis() || run_time >= kKindRetention ||
      !IsSound(scheduler, endpoint, now))
    return;
  Advance(endpoint.neighbour_times, now);
  RunSample sample;
  sample.step = task.step;
  sample.log_run_time =
      std::log(static_cast<double>(run_time.count) / endpoint.slowness);
  AddNeighbourShares(endpoint, run, run_time, sample);
  job->second.run_samples.push_back(std::move(sample));
}

void LearnInterference(Scheduler& scheduler, const ScheduledJob& job) {
  Interference& interference = scheduler.interference;
  for (uint32_t step = 0; step < job.job.steps.size(); ++step) {
    double count = 0;
    double log_sum = 0;
    double crowding_sum = 0;
    for (const RunSample& sample : job.run_samples) {
      if (sample.step != step)
        continue;
      count += 1;
      log_sum += sample.log_run_time;
      crowding_sum += sample.crowding;
    }
    for (const RunSample& sample : job.run_samples) {
      if (sample.step != step)
        continue;
      const bool is_single = count == 1;
      const double others = std::max(count - 1, 1.0);
      const double baseline =
          is_single ? std::log(static_cast<double>(std::max<int64_t>(
                          EstimateTaskRunTime(scheduler.run_times, job.job,
                                              job.job.steps[step])
                              .count,
                          1)))
                    : (log_sum - sample.log_run_time) / others;
      const double deviation = std::clamp(sample.log_run_time - baseline,
                                          -kMaxDeviation, kMaxDeviation);
      const double weight = is_single ? kSingleTaskWeight : others / count;
      AttributeDeviation(interference.kinds[sample.kind], sample, weight,
                         deviation);
      if (is_single)
        continue;
      const double crowding_difference =
          sample.crowding - (crowding_sum - sample.crowding) / others;
      interference.crowding_square +=
          weight * crowding_difference * crowding_difference;
      interference.crowding_deviation +=
          weight * crowding_difference * deviation;
    }
  }
}

void ReviewInterference(Scheduler& scheduler, Millis now, Actions& actions) {
  Interference& interference = scheduler.interference;
  if (interference.kinds.empty() ||
      now - interference.reviewed_at < kReviewPeriod)
    return;
  Decay(interference, now);
  interference.reviewed_at = now;
  const double crowding_slope = EstimateCrowdingSlope(interference);
  const auto count = static_cast<uint8_t>(interference.kinds.size());
  for (uint8_t number = 1; number < count; ++number) {
    for (uint8_t neighbour = 1; neighbour < count; ++neighbour)
      ReviewPair(scheduler, number, neighbour, crowding_slope, actions);
  }
  UpdateHeldApart(interference);
}

InterferenceNotice MakeInterferenceNotice(const Scheduler& scheduler) {
  const Interference& interference = scheduler.interference;
  const double crowding_slope = EstimateCrowdingSlope(interference);
  const auto count = static_cast<uint8_t>(interference.kinds.size());
  InterferenceNotice notice;
  for (uint8_t number = 1; number < count; ++number) {
    const InterferenceKind& kind = interference.kinds[number];
    for (uint8_t neighbour = 1; neighbour < count; ++neighbour) {
      if ((kind.slowed_by & BitOf(neighbour)) == 0 ||
          notice.pairs.size() >= kMaxNoticePairs)
        continue;
      const NeighbourEffect effect =
          EstimateEffect(kind, neighbour, crowding_slope);
      notice.pairs.push_back({kind.name, interference.kinds[neighbour].name,
                              effect.log_ratio,
                              static_cast<uint32_t>(effect.runs)});
    }
  }
  return notice;
}

void ApplyInterferenceNotice(Scheduler& scheduler,
                             const InterferenceNotice& notice,
                             Millis now) {
  if (!scheduler.options.interference)
    return;
  Interference& interference = scheduler.interference;
  const size_t count = std::min(notice.pairs.size(), kMaxNoticePairs);
  for (size_t i = 0; i < count; ++i) {
    const InterferencePair& pair = notice.pairs[i];
    const uint8_t number = GetOrAddKind(interference, pair.kind, now);
    const uint8_t neighbour = GetOrAddKind(interference, pair.neighbour, now);
    if (number == kOtherKinds || neighbour == kOtherKinds)
      continue;
    interference.kinds[number].received[neighbour] = {
        pair.log_ratio,
        std::min(static_cast<double>(pair.runs), kReceivedRuns)};
  }
}

}  // namespace dogwoodfall
