#ifndef DOGWOODFALL_MODULES_ADAPTERS_OPERATORS_STATE_DUMP_H_
#define DOGWOODFALL_MODULES_ADAPTERS_OPERATORS_STATE_DUMP_H_

#include <string>

#include "core/node/node.h"

namespace dogwoodfall {

/** Formats the state of a daemon as JSON for operators, with one section per
 * module.
 *
 * @param module the only section to return, or empty for all of them
 * @return "null" for an unknown section
 */
std::string DumpState(const Node& node, const std::string& module, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_OPERATORS_STATE_DUMP_H_
