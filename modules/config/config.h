#ifndef DOGWOODFALL_MODULES_CONFIG_CONFIG_H_
#define DOGWOODFALL_MODULES_CONFIG_CONFIG_H_

/** @file
 * Module config: the operators' two lists as text, their checks, and what
 * differs between two revisions.
 *
 * The tool checks with it before a write, and daemons before they take a
 * revision. Depends on base and model.
 */

#include "config/configuration_text.h"

#endif  // DOGWOODFALL_MODULES_CONFIG_CONFIG_H_
