#ifndef DOGWOODFALL_MODULES_ADAPTERS_ADAPTERS_H_
#define DOGWOODFALL_MODULES_ADAPTERS_ADAPTERS_H_

/** @file
 * Module adapters: the world behind the ports, one folder each.
 *
 * http: evhtp servers and evhttp clients. callers, operators: the two HTTP
 * interfaces. endpoints, store, instances: clients of outside systems. peers:
 * TCP and UDP between daemons with cereal. logging: easylogging++. metrics:
 * prometheus-cpp. Depends on base, model, ports and the named libraries; the
 * core does not depend on it.
 */

#include "adapters/callers/caller_json.h"
#include "adapters/endpoints/endpoint_client.h"
#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "adapters/instances/instance_list_client.h"
#include "adapters/logging/logging.h"
#include "adapters/metrics/metrics.h"
#include "adapters/operators/state_dump.h"
#include "adapters/peers/peer_codec.h"
#include "adapters/peers/peer_network.h"
#include "adapters/store/store_gateway.h"

#endif  // DOGWOODFALL_MODULES_ADAPTERS_ADAPTERS_H_
