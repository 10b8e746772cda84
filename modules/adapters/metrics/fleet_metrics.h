#ifndef DOGWOODFALL_MODULES_ADAPTERS_METRICS_FLEET_METRICS_H_
#define DOGWOODFALL_MODULES_ADAPTERS_METRICS_FLEET_METRICS_H_

#include <cstdint>
#include <string>

#include "adapters/peers/peer_network.h"
#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Metrics of a daemon on the platform in the Prometheus text form.
 *
 * @param store_calls calls to the platform's store so far
 * @param connections connections to endpoints and the store opened so far
 * @param dropped_log_lines log lines that were not written
 */
std::string FormatFleetMetrics(const FleetNode& node,
                               const PeerNetworkCounters& network,
                               uint64_t store_calls,
                               uint64_t connections,
                               uint64_t dropped_log_lines);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_METRICS_FLEET_METRICS_H_
