#ifndef DOGWOODFALL_MODULES_CONFIG_CONFIGURATION_TEXT_H_
#define DOGWOODFALL_MODULES_CONFIG_CONFIGURATION_TEXT_H_

#include <string>
#include <variant>
#include <vector>

#include "model/configuration.h"

namespace dogwoodfall {

/** An error in a configuration text. */
struct ConfigurationError {
  /** JSON pointer in the text, such as /plans/gold/weight. */
  std::string path;
  std::string found;
  std::string allowed;
};

/** Either the configuration or all errors of the text. */
using ParsedConfiguration =
    std::variant<Configuration, std::vector<ConfigurationError>>;

/** Store key of the configuration. */
inline constexpr const char* kConfigurationKey = "dogwoodfall/configuration";

/** Parses and checks a configuration. Unknown fields are errors. */
ParsedConfiguration ParseConfiguration(const std::string& text);

/** Returns the JSON text of a configuration. */
std::string FormatConfiguration(const Configuration& configuration);

/** Returns one line of text per error. */
std::string FormatErrors(const std::vector<ConfigurationError>& errors);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CONFIG_CONFIGURATION_TEXT_H_
