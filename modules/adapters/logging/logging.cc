#include "adapters/logging/logging.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "adapters/logging/log_limit.h"
#include "base/process_clock.h"

INITIALIZE_EASYLOGGINGPP

namespace dogwoodfall {
namespace {

std::string QuoteIfNeeded(const std::string& value) {
  if (!value.empty() &&
      value.find_first_of(" =\"\\\n\r\t") == std::string::npos)
    return value;
  return nlohmann::json(value).dump(-1, ' ', true,
                                    nlohmann::json::error_handler_t::replace);
}

/** Max length of a line. A pipe that polls as writable accepts this much
 * without blocking.
 */
constexpr size_t kMaxLineBytes = 3'500;

/** The rate limit of the process, which has one log. */
LogLimit& GetLogLimit() {
  static LogLimit limit;
  return limit;
}

const ProcessClock& GetClock() {
  static ProcessClock clock;
  return clock;
}

/** Returns true when a line can be written to standard output without blocking.
 */
bool IsOutputWritable() {
  pollfd output = {STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

bool TryWriteLine(const std::string& line) {
  if (!IsOutputWritable())
    return false;
  LOG(INFO) << line.substr(0, kMaxLineBytes);
  return true;
}

}  // namespace

void SetUpLogging(bool is_quiet) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  if (is_quiet)
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void WriteLog(const LogEvent& event) {
  LogLimit& limit = GetLogLimit();
  if (!TryConsumeLine(limit, GetClock().Now())) {
    CountDroppedLine(limit);
    return;
  }
  if (limit.dropped > 0 &&
      TryWriteLine(FormatLogEvent(
          {"log_lines_left_out", {{"lines", std::to_string(limit.dropped)}}})))
    limit.dropped = 0;
  if (!TryWriteLine(FormatLogEvent(event)))
    CountDroppedLine(limit);
}

uint64_t DroppedLogLines() {
  return GetLogLimit().total_dropped;
}

std::string FormatLogEvent(const LogEvent& event) {
  std::string line = "event=" + event.name;
  for (const auto& [key, value] : event.fields)
    line += " " + key + "=" + QuoteIfNeeded(value);
  return line;
}

}  // namespace dogwoodfall
