#ifndef DOGWOODFALL_MODULES_CORE_FLEET_ENDPOINT_SPEED_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_ENDPOINT_SPEED_FLOW_H_

#include <vector>

#include "core/fleet/fleet_node.h"
#include "model/heartbeat.h"

namespace dogwoodfall {

/** Sends the learned speeds of endpoints to their next owners, before the
 * endpoints are released here. Nothing is repeated when such a message is lost
 * with its connection's session: the next owner learns them again.
 */
void SendEndpointSpeeds(FleetNode& node,
                        const std::vector<EndpointId>& endpoints,
                        Millis now,
                        Actions& actions);

/** Averages the speeds of kinds that all peers have reported last, after the
 * given heartbeat of one of them was recorded.
 */
void ApplyKindReports(FleetNode& node,
                      const Heartbeat& heartbeat,
                      Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_ENDPOINT_SPEED_FLOW_H_
