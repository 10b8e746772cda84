#ifndef DOGWOODFALL_MODULES_CORE_DISPATCH_RUN_TIME_DISTRIBUTION_H_
#define DOGWOODFALL_MODULES_CORE_DISPATCH_RUN_TIME_DISTRIBUTION_H_

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "base/millis.h"

namespace dogwoodfall {

/** Distribution of the run times of a route's jobs on an endpoint of slowness
 * 1, as a histogram of their logarithms.
 *
 * A mean does not describe routes of which a few jobs take many times as long
 * as the others: it makes the long jobs look short, so that they are placed on
 * slow endpoints and stopped as stragglers. With the distribution, a long
 * declared run time counts as an error of the caller on a route without long
 * jobs, and as a long job on a route with some.
 */
struct RunTimeDistribution {
  static constexpr size_t kBins = 48;
  /** Weight of the samples in each bin; old samples decay. */
  std::array<double, kBins> weights{};
  double total_weight = 0;
};

/** Distributions by route. */
struct RunTimeDistributions {
  std::map<std::string, RunTimeDistribution> by_route;
};

/** Adds the run time of a job, also of one that was given up and whose run time
 * is only projected. Without those, long jobs would never be learned.
 */
void AddRunTime(RunTimeDistributions& distributions,
                const std::string& route,
                Millis run_time);

/** Returns the distribution of a route, or null while it has too few samples.
 */
const RunTimeDistribution* FindDistribution(
    const RunTimeDistributions& distributions,
    const std::string& route);

/** Probabilities of the run times of one job, by the bins of a distribution. */
struct RunTimeProbabilities {
  /** Geometric mean. */
  Millis expected;
  /** Probability of a run time below the start of each bin, and of any. */
  std::array<double, RunTimeDistribution::kBins + 1> below{};
};

/** Returns the probabilities for a job of a route that has declared a run time.
 * Expensive beside what is computed from them.
 */
RunTimeProbabilities PredictRunTime(const RunTimeDistribution& distribution,
                                    Millis declared);

/** Returns the expected run time (geometric mean). */
inline Millis GetExpectedRunTime(const RunTimeProbabilities& probabilities) {
  return probabilities.expected;
}

/** Returns the probability of a run time of at most a limit. */
double ProbabilityOfAtMost(const RunTimeProbabilities& probabilities,
                           Millis limit);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DISPATCH_RUN_TIME_DISTRIBUTION_H_
