#include "core/dispatch/run_time_distribution.h"

#include <algorithm>
#include <cmath>

namespace dogwoodfall {
namespace {

/** Width of a bin in the logarithm of the run time. 48 bins reach from 1 ms to
 * 160 s.
 */
constexpr double kBinWidth = 0.25;
/** Standard deviation of the logarithm of declared run times around the actual
 * ones.
 */
constexpr double kDeclaredLogDeviation = 0.4;
/** Factor on older samples for each new one, so that some 400 samples count:
 * enough to see a share of 1 %.
 */
constexpr double kSampleDecay = 0.9975;
/** Minimum weight of the samples for a distribution to be used. */
constexpr double kMinWeight = 20;
/** Share of jobs that may have any run time, whatever was sampled. A long job
 * on a route without any so far is still possible.
 */
constexpr double kUnknownShare = 0.01;
/** Maximum number of routes. Further ones are not recorded. */
constexpr size_t kMaxRoutes = 1'000;

double LogMs(Millis time) {
  return std::log(static_cast<double>(std::max<int64_t>(time.count, 1)));
}

double CenterOf(size_t bin) {
  return kBinWidth * (static_cast<double>(bin) + 0.5);
}

size_t BinOf(Millis run_time) {
  const double bin = LogMs(run_time) / kBinWidth;
  return std::min(static_cast<size_t>(bin), RunTimeDistribution::kBins - 1);
}

/** Returns the share of a bin that lies below a limit. */
double ShareBelow(size_t bin, double log_limit) {
  const double share =
      (log_limit - kBinWidth * static_cast<double>(bin)) / kBinWidth;
  return std::clamp(share, 0.0, 1.0);
}

}  // namespace

void AddRunTime(RunTimeDistributions& distributions,
                const std::string& route,
                Millis run_time) {
  if (distributions.by_route.count(route) == 0 &&
      distributions.by_route.size() >= kMaxRoutes)
    return;
  RunTimeDistribution& distribution = distributions.by_route[route];
  for (double& weight : distribution.weights)
    weight *= kSampleDecay;
  distribution.weights[BinOf(run_time)] += 1;
  distribution.total_weight = distribution.total_weight * kSampleDecay + 1;
}

const RunTimeDistribution* FindDistribution(
    const RunTimeDistributions& distributions,
    const std::string& route) {
  const auto found = distributions.by_route.find(route);
  if (found == distributions.by_route.end() ||
      found->second.total_weight < kMinWeight)
    return nullptr;
  return &found->second;
}

RunTimeProbabilities PredictRunTime(const RunTimeDistribution& distribution,
                                    Millis declared) {
  constexpr double kFloor =
      kUnknownShare / static_cast<double>(RunTimeDistribution::kBins);
  // Beyond the bins, all of them would get a probability of zero.
  const double log_declared =
      std::min(LogMs(declared), CenterOf(RunTimeDistribution::kBins - 1));
  RunTimeProbabilities probabilities{};
  double sum = 0;
  for (size_t bin = 0; bin < probabilities.size(); ++bin) {
    const double deviations =
        (log_declared - CenterOf(bin)) / kDeclaredLogDeviation;
    const double prior = (1 - kUnknownShare) * distribution.weights[bin] /
                             std::max(distribution.total_weight, 1.0) +
                         kFloor;
    probabilities[bin] = prior * std::exp(-deviations * deviations / 2);
    sum += probabilities[bin];
  }
  for (double& probability : probabilities)
    probability /= sum;
  return probabilities;
}

Millis GetExpectedRunTime(const RunTimeProbabilities& probabilities) {
  double log_mean = 0;
  for (size_t bin = 0; bin < probabilities.size(); ++bin)
    log_mean += probabilities[bin] * CenterOf(bin);
  return Millis{std::max<int64_t>(std::llround(std::exp(log_mean)), 1)};
}

double ProbabilityOfAtMost(const RunTimeProbabilities& probabilities,
                           Millis limit) {
  if (limit <= Millis())
    return 0;
  const double log_limit = LogMs(limit);
  double probability = 0;
  for (size_t bin = 0; bin < probabilities.size(); ++bin)
    probability += probabilities[bin] * ShareBelow(bin, log_limit);
  return probability;
}

}  // namespace dogwoodfall
