#include "core/routing/rendezvous.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "base/hash.h"

namespace dogwoodfall {
namespace {

/** Returns a candidate's score for a key. The highest score wins, with a
 * probability proportional to the candidate's weight.
 */
double ScoreOf(const Candidate& candidate, const std::string& key) {
  // The upper 53 bits of the hash, the size of a double's mantissa, give a
  // uniform value in (0, 1].
  constexpr int kUnusedBits = 11;
  constexpr double kTwoToThe53 = 9007199254740992.0;
  const uint64_t hash = StableHash(candidate.id.value + "\n" + key);
  const double uniform =
      (static_cast<double>(hash >> kUnusedBits) + 1.0) / (kTwoToThe53 + 1.0);
  return -static_cast<double>(std::max(candidate.weight, 1U)) /
         std::log(uniform);
}

}  // namespace

const Candidate& ChooseByRendezvous(const std::vector<Candidate>& candidates,
                                    const std::string& key) {
  assert(!candidates.empty());
  const Candidate* best = &candidates.front();
  double best_score = 0;
  for (const Candidate& candidate : candidates) {
    const double score = ScoreOf(candidate, key);
    if (score > best_score ||
        (score == best_score && candidate.id < best->id)) {
      best = &candidate;
      best_score = score;
    }
  }
  return *best;
}

}  // namespace dogwoodfall
