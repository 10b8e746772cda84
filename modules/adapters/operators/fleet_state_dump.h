#ifndef DOGWOODFALL_MODULES_ADAPTERS_OPERATORS_FLEET_STATE_DUMP_H_
#define DOGWOODFALL_MODULES_ADAPTERS_OPERATORS_FLEET_STATE_DUMP_H_

#include <string>

#include "core/fleet/fleet_node.h"

namespace dogwoodfall {

/** Formats the state of a platform daemon as JSON for operators. */
std::string DumpFleetState(const FleetNode& node, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_OPERATORS_FLEET_STATE_DUMP_H_
