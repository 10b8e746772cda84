#ifndef DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOGGING_H_
#define DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOGGING_H_

#include <string>

#include "ports/log_event.h"

namespace dogwoodfall {

/** Sets logging up: one line of key=value pairs an event on standard output
 * (easylogging++).
 *
 * @param is_quiet true when only warnings are wanted
 */
void SetUpLogging(bool is_quiet);

/** Writes one event. Values with blanks or quotes are quoted. */
void WriteLog(const LogEvent& event);

/** The line of an event without time. */
std::string FormatLogEvent(const LogEvent& event);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOGGING_H_
