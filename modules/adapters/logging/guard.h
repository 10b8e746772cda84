#ifndef DOGWOODFALL_MODULES_ADAPTERS_LOGGING_GUARD_H_
#define DOGWOODFALL_MODULES_ADAPTERS_LOGGING_GUARD_H_

#include <exception>

#include "adapters/logging/logging.h"

namespace dogwoodfall {

/** Handles one event from outside. An exception ends the handling of this event
 * and is logged; it must not pass through the C code of the event loop, where
 * it would end the process.
 *
 * @param event name of the event for the log
 * @return false when the handler has thrown
 */
template <typename Handler>
bool RunGuarded(const char* event, Handler&& handler) {
  try {
    handler();
    return true;
  } catch (const std::exception& exception) {
    WriteLog({"event_failed", {{"event", event}, {"error", exception.what()}}});
  } catch (...) {
    WriteLog({"event_failed", {{"event", event}, {"error", "unknown"}}});
  }
  return false;
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_LOGGING_GUARD_H_
