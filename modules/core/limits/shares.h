#ifndef DOGWOODFALL_MODULES_CORE_LIMITS_SHARES_H_
#define DOGWOODFALL_MODULES_CORE_LIMITS_SHARES_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace dogwoodfall {

/** What one daemon wants of a limit. */
struct ShareDemand {
  DaemonId daemon;
  uint64_t requested = 0;
};

/** Divides a limit among daemons in proportion to what they want, and what is
 * left over evenly. The shares of all daemons of one list sum to the limit.
 *
 * @return the share of one daemon; 0 when it is not in the list
 */
uint32_t ShareOf(uint32_t limit,
                 const std::vector<ShareDemand>& demands,
                 const DaemonId& daemon);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LIMITS_SHARES_H_
