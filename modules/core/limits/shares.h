#ifndef DOGWOODFALL_MODULES_CORE_LIMITS_SHARES_H_
#define DOGWOODFALL_MODULES_CORE_LIMITS_SHARES_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace dogwoodfall {

/** One daemon's demand for a share of a limit. */
struct ShareDemand {
  DaemonId daemon;
  uint64_t requested = 0;
};

/** Divides a limit among daemons in proportion to their demands. The units left
 * after rounding down go one each to the daemons with the largest remainders.
 * The shares of all daemons in the list add up to the limit.
 *
 * @return the share of the given daemon; 0 when it is not in the list
 */
uint32_t ShareOf(uint32_t limit,
                 const std::vector<ShareDemand>& demands,
                 const DaemonId& daemon);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LIMITS_SHARES_H_
