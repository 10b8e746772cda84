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

std::string Quote(const std::string& value) {
  if (!value.empty() &&
      value.find_first_of(" =\"\\\n\r\t") == std::string::npos)
    return value;
  return nlohmann::json(value).dump(-1, ' ', true,
                                    nlohmann::json::error_handler_t::replace);
}

/** Longest line: a pipe that can be written to takes this much at once. */
constexpr size_t kLongestLine = 3'500;

/** What the process has written; there is one log in a process. */
LogLimit& Limit() {
  static LogLimit limit;
  return limit;
}

const ProcessClock& Clock() {
  static ProcessClock clock;
  return clock;
}

/** True when a line can be written to standard output without waiting. */
bool IsOutputFree() {
  pollfd output = {STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

bool WriteLine(const std::string& line) {
  if (!IsOutputFree())
    return false;
  LOG(INFO) << line.substr(0, kLongestLine);
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
  LogLimit& limit = Limit();
  if (!TryConsumeLine(limit, Clock().Now())) {
    CountDroppedLine(limit);
    return;
  }
  if (limit.left_out > 0 &&
      WriteLine(FormatLogEvent(
          {"log_lines_left_out", {{"lines", std::to_string(limit.left_out)}}})))
    limit.left_out = 0;
  if (!WriteLine(FormatLogEvent(event)))
    CountDroppedLine(limit);
}

uint64_t DroppedLogLines() {
  return Limit().total_dropped;
}

std::string FormatLogEvent(const LogEvent& event) {
  std::string line = "event=" + event.name;
  for (const auto& [key, value] : event.fields)
    line += " " + key + "=" + Quote(value);
  return line;
}

}  // namespace dogwoodfall
