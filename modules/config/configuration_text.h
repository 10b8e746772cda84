#ifndef DOGWOODFALL_MODULES_CONFIG_CONFIGURATION_TEXT_H_
#define DOGWOODFALL_MODULES_CONFIG_CONFIGURATION_TEXT_H_

#include <string>
#include <variant>
#include <vector>

#include "model/configuration.h"

namespace dogwoodfall {

/** One fault of a text: where it is, what stands there, what is allowed. */
struct ConfigurationError {
  /** Path in the text, such as /plans/gold/weight. */
  std::string path;
  std::string found;
  std::string allowed;
};

/** Either the lists or every fault of the text. */
using ParsedConfiguration =
    std::variant<Configuration, std::vector<ConfigurationError>>;

/** Key of the two lists in the store. */
inline constexpr const char* kConfigurationKey = "dogwoodfall/configuration";

/** Reads and checks the two lists. Unknown fields are faults. */
ParsedConfiguration ParseConfiguration(const std::string& text);

/** The text of the two lists. */
std::string FormatConfiguration(const Configuration& configuration);

/** One line per fault. */
std::string FormatErrors(const std::vector<ConfigurationError>& faults);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CONFIG_CONFIGURATION_TEXT_H_
