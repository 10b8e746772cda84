#include "adapters/logging/logging.h"

#include <easylogging++.h>

#include <nlohmann/json.hpp>

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
  LOG(INFO) << FormatLogEvent(event);
}

std::string FormatLogEvent(const LogEvent& event) {
  std::string line = "event=" + event.name;
  for (const auto& [key, value] : event.fields)
    line += " " + key + "=" + Quote(value);
  return line;
}

}  // namespace dogwoodfall
