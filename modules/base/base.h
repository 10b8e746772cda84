/** @file
 * Module base: ids, time, result codes, hashing and helpers for containers.
 *
 * Everything else builds on this module; it depends on the C++ library and on
 * xxHash only, and does no input or output.
 */
#ifndef DOGWOODFALL_MODULES_BASE_BASE_H_
#define DOGWOODFALL_MODULES_BASE_BASE_H_

#include "base/erase_if.h"
#include "base/hash.h"
#include "base/ids.h"
#include "base/millis.h"
#include "base/result.h"
#include "base/result_code.h"
#include "base/start_state.h"

#endif  // DOGWOODFALL_MODULES_BASE_BASE_H_
