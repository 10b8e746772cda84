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
  std::array<double, RunTimeDistribution::kBins> weights{};
  double sum = 0;
  for (size_t bin = 0; bin < weights.size(); ++bin) {
    const double deviations =
        (log_declared - CenterOf(bin)) / kDeclaredLogDeviation;
    const double prior = (1 - kUnknownShare) * distribution.weights[bin] /
                             std::max(distribution.total_weight, 1.0) +
                         kFloor;
    weights[bin] = prior * std::exp(-deviations * deviations / 2);
    sum += weights[bin];
  }
  RunTimeProbabilities probabilities;
  double log_mean = 0;
  for (size_t bin = 0; bin < weights.size(); ++bin) {
    const double probability = weights[bin] / sum;
    probabilities.below[bin + 1] = probabilities.below[bin] + probability;
    log_mean += probability * CenterOf(bin);
  }
  probabilities.expected =
      Millis{std::max<int64_t>(std::llround(std::exp(log_mean)), 1)};
  return probabilities;
}

double ProbabilityOfAtMost(const RunTimeProbabilities& probabilities,
                           Millis limit) {
  if (limit <= Millis())
    return 0;
  const double position = LogMs(limit) / kBinWidth;
  const auto bin = static_cast<size_t>(position);
  if (bin >= RunTimeDistribution::kBins)
    return probabilities.below.back();
  const double share = position - static_cast<double>(bin);
  return probabilities.below[bin] +
         share * (probabilities.below[bin + 1] - probabilities.below[bin]);
}

}  // namespace dogwoodfall
