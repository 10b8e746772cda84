#ifndef DOGWOODFALL_MODULES_PORTS_PORTS_H_
#define DOGWOODFALL_MODULES_PORTS_PORTS_H_

/** @file
 * Module ports: what the core asks of the world, as actions, and what the
 * world tells it.
 *
 * The core is given an event and a time and gives back Actions; adapters and
 * the fakes of the tests carry them out. Depends on base and model only.
 */

#include "ports/action.h"
#include "ports/endpoint_event.h"
#include "ports/log_event.h"
#include "ports/store_call.h"

#endif  // DOGWOODFALL_MODULES_PORTS_PORTS_H_
