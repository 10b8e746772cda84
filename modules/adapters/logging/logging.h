#ifndef DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOGGING_H_
#define DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOGGING_H_

#include <cstdint>
#include <string>

#include "ports/log_event.h"

namespace dogwoodfall {

/** Sets logging up: one line of key=value pairs an event on standard output
 * (easylogging++).
 *
 * @param is_quiet true when only warnings are wanted
 */
void SetUpLogging(bool is_quiet);

/** Writes one event. Values with blanks or quotes are quoted. Never waits: a
 * line that does not fit into the output at once, or is beyond the rate of
 * log_limit.h, is left out and counted, and a line says later how many were.
 */
void WriteLog(const LogEvent& event);

/** Lines that were not written since the process began. */
uint64_t DroppedLogLines();

/** The line of an event without time. */
std::string FormatLogEvent(const LogEvent& event);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOGGING_H_
