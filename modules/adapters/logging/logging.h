#ifndef DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOGGING_H_
#define DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOGGING_H_

#include <cstdint>
#include <string>

#include "ports/log_event.h"

namespace dogwoodfall {

/** Sets up logging to standard output, with one line of key=value pairs per
 * event (easylogging++).
 *
 * @param is_quiet true to log only warnings and errors
 */
void SetUpLogging(bool is_quiet);

/** Writes one event. Values with blanks or quotes are quoted.
 *
 * Never blocks: a line is dropped when the output can't accept it at once or
 * when the rate limit of log_limit.h is exceeded. The number of dropped lines
 * is logged later as the event log_lines_left_out.
 */
void WriteLog(const LogEvent& event);

/** Number of lines dropped since the process started. */
uint64_t DroppedLogLines();

/** Formats the line of an event, without the time. */
std::string FormatLogEvent(const LogEvent& event);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOGGING_H_
