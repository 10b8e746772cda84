#ifndef DOGWOODFALL_MODULES_CONFIG_CONFIG_H_
#define DOGWOODFALL_MODULES_CONFIG_CONFIG_H_

/** @file
 * Module config: the text form of the operators' configuration, and its checks.
 *
 * The tool checks a configuration before it writes it, and daemons check it
 * before they activate a revision. Depends on base and model.
 */

#include "config/configuration_text.h"

#endif  // DOGWOODFALL_MODULES_CONFIG_CONFIG_H_
