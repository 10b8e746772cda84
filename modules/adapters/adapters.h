#ifndef DOGWOODFALL_MODULES_ADAPTERS_ADAPTERS_H_
#define DOGWOODFALL_MODULES_ADAPTERS_ADAPTERS_H_

/** @file
 * Module adapters: connects the ports to the network and to other systems.
 *
 * Folders:
 * - http: HTTP server (evhtp) and HTTP client (evhttp).
 * - callers, operators: the HTTP interfaces for callers and for operators.
 * - endpoints, store, instances: clients of external systems.
 * - peers: TCP and UDP between daemons, serialized with cereal.
 * - logging: log output (easylogging++).
 * - metrics: Prometheus metrics (prometheus-cpp).
 *
 * Depends on base, model, ports and the named libraries; metrics and operators
 * also read the state of the core. The core does not depend on this module.
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
