#ifndef DOGWOODFALL_MODULES_CORE_FLEET_OWNERSHIP_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_OWNERSHIP_FLOW_H_

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Takes over what the store has told. */
void ApplyStoreNews(FleetNode& node,
                    const StoreNews& news,
                    Millis now,
                    Actions& actions);

/** True when this daemon schedules by its present view. */
bool IsScheduler(const FleetNode& node);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_OWNERSHIP_FLOW_H_
