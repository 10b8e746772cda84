#ifndef DOGWOODFALL_MODULES_ADAPTERS_OPERATORS_STATE_DUMP_H_
#define DOGWOODFALL_MODULES_ADAPTERS_OPERATORS_STATE_DUMP_H_

#include <string>

#include "core/node/node.h"

namespace dogwoodfall {

/** The state of a core as JSON, one part for each module.
 *
 * @param module name of the only part wanted, or empty for all
 */
std::string DumpState(const Node& node, const std::string& module, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_OPERATORS_STATE_DUMP_H_
