#ifndef DOGWOODFALL_MODULES_ADAPTERS_METRICS_FLEET_METRICS_H_
#define DOGWOODFALL_MODULES_ADAPTERS_METRICS_FLEET_METRICS_H_

#include <cstdint>
#include <string>

#include "adapters/http/http_refusal.h"
#include "adapters/peers/peer_network.h"
#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Formats the metrics of a fleet daemon in the Prometheus text format.
 *
 * @param store_calls calls to the platform's store since the process started
 * @param connections connections to endpoints and the store that were opened
 * since the process started
 * @param dropped_log_lines log lines that were not written
 * @param refusals refusals of all HTTP listeners
 * @param responses_given_up see HttpClient::ResponsesGivenUp
 */
std::string FormatFleetMetrics(const FleetNode& node,
                               const PeerNetworkCounters& network,
                               uint64_t store_calls,
                               uint64_t connections,
                               uint64_t dropped_log_lines,
                               const HttpRefusalCounts& refusals,
                               uint64_t responses_given_up);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_METRICS_FLEET_METRICS_H_
