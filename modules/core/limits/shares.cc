#include "core/limits/shares.h"

#include <algorithm>

namespace dogwoodfall {
namespace {

/** Minimum demand counted for every daemon, so that an idle one can start tasks
 * before its demand was reported to the other daemons.
 */
constexpr uint64_t kMinDemand = 1;

struct Portion {
  uint64_t whole = 0;
  uint64_t remainder = 0;
  DaemonId daemon;
};

std::vector<Portion> PortionsOf(uint32_t limit,
                                const std::vector<ShareDemand>& demands) {
  uint64_t total = 0;
  for (const ShareDemand& demand : demands)
    total += std::max(demand.requested, kMinDemand);
  std::vector<Portion> portions;
  for (const ShareDemand& demand : demands) {
    const uint64_t product = limit * std::max(demand.requested, kMinDemand);
    portions.push_back({product / total, product % total, demand.daemon});
  }
  return portions;
}

}  // namespace

uint32_t ShareOf(uint32_t limit,
                 const std::vector<ShareDemand>& demands,
                 const DaemonId& daemon) {
  std::vector<Portion> portions = PortionsOf(limit, demands);
  uint64_t units_left = limit;
  for (const Portion& portion : portions)
    units_left -= portion.whole;
  std::sort(portions.begin(), portions.end(),
            [](const Portion& a, const Portion& b) {
              return a.remainder != b.remainder ? a.remainder > b.remainder
                                                : a.daemon < b.daemon;
            });
  for (const Portion& portion : portions) {
    const uint64_t extra = units_left > 0 ? 1 : 0;
    units_left -= extra;
    if (portion.daemon == daemon)
      return static_cast<uint32_t>(portion.whole + extra);
  }
  return 0;
}

}  // namespace dogwoodfall
