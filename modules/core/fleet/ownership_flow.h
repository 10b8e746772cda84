#ifndef DOGWOODFALL_MODULES_CORE_FLEET_OWNERSHIP_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_OWNERSHIP_FLOW_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Applies an update from the store. */
void ApplyStoreUpdate(FleetNode& node,
                      const StoreUpdate& update,
                      Millis now,
                      Actions& actions);

/** Sends the network the list of peers to accept messages from. */
void SendPeerList(const FleetNode& node, Actions& actions);

/** Applies a peer's membership view if it is newer. */
void ApplyViewNotice(FleetNode& node,
                     const ViewNotice& notice,
                     Millis now,
                     Actions& actions);

/** Applies a peer's routes if they are newer. */
void ApplyRoutesNotice(FleetNode& node,
                       const RoutesNotice& notice,
                       Actions& actions);

/** Returns the owner of a group if it is another daemon, else null. While a
 * group has no owner, for example because the store has dropped all items, its
 * previous owner keeps it.
 */
const FleetMember* OtherOwnerOf(const FleetNode& node,
                                const EndpointGroup& group);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_OWNERSHIP_FLOW_H_
