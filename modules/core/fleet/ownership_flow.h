#ifndef DOGWOODFALL_MODULES_CORE_FLEET_OWNERSHIP_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_OWNERSHIP_FLOW_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Takes over what the store has told. */
void ApplyStoreNews(FleetNode& node,
                    const StoreNews& news,
                    Millis now,
                    Actions& actions);

/** Tells the network whom to take messages from. */
void TellNetwork(const FleetNode& node, Actions& actions);

/** Takes over a peer's newer view of the daemons. */
void ApplyViewNotice(FleetNode& node,
                     const ViewNotice& notice,
                     Millis now,
                     Actions& actions);

/** Takes over a peer's newer routes. */
void ApplyRoutesNotice(FleetNode& node,
                       const RoutesNotice& notice,
                       Actions& actions);

/** The daemon other than this one that owns a group, or null. While nobody
 * does, as when the store has dropped all items, its former owner goes on.
 */
const FleetMember* OtherOwnerOf(const FleetNode& node,
                                const EndpointGroup& group);

/** True when this daemon schedules by its present view. */
bool IsScheduler(const FleetNode& node);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_OWNERSHIP_FLOW_H_
