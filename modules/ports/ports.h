#ifndef DOGWOODFALL_MODULES_PORTS_PORTS_H_
#define DOGWOODFALL_MODULES_PORTS_PORTS_H_

/** @file
 * Module ports: the actions that the core requests from its adapters, and the
 * events and replies that it receives from them.
 *
 * The core receives an event and a time and returns Actions; the adapters, or
 * the fakes in tests, execute them. Depends on base and model only.
 */

#include "ports/action.h"
#include "ports/endpoint_event.h"
#include "ports/log_event.h"
#include "ports/store_call.h"

#endif  // DOGWOODFALL_MODULES_PORTS_PORTS_H_
