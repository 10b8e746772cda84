#ifndef DOGWOODFALL_MODULES_ADAPTERS_METRICS_METRICS_H_
#define DOGWOODFALL_MODULES_ADAPTERS_METRICS_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "adapters/peers/peer_network.h"
#include "core/node/node.h"
#include "ports/store_call.h"

namespace dogwoodfall {

/** Formats the metrics of a daemon in the Prometheus text format.
 *
 * @param store_calls calls to the store since the process started, by purpose
 */
std::string FormatMetrics(const Node& node,
                          const PeerNetworkCounters& network,
                          const std::map<StorePurpose, uint64_t>& store_calls,
                          Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_METRICS_METRICS_H_
