#ifndef DOGWOODFALL_MODULES_ADAPTERS_METRICS_METRICS_H_
#define DOGWOODFALL_MODULES_ADAPTERS_METRICS_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "adapters/http/http_refusal.h"
#include "adapters/peers/peer_network.h"
#include "core/node/node.h"
#include "ports/store_call.h"

namespace dogwoodfall {

/** Formats the metrics of a daemon in the Prometheus text format.
 *
 * @param store_calls calls to the store since the process started, by purpose
 * @param refusals refusals of all HTTP listeners
 * @param responses_given_up see HttpClient::ResponsesGivenUp
 */
std::string FormatMetrics(const Node& node,
                          const PeerNetworkCounters& network,
                          const std::map<StorePurpose, uint64_t>& store_calls,
                          const HttpRefusalCounts& refusals,
                          uint64_t responses_given_up,
                          Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_METRICS_METRICS_H_
