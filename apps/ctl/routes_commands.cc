#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "ctl/blocking_calls.h"
#include "ctl/commands.h"
#include "platform/configuration_check.h"

namespace dogwoodfall {
namespace {

namespace options = boost::program_options;
using Json = nlohmann::json;
using Values = options::variables_map;

/** Exit codes of routes check, which scripts test; they differ from those of
 * the other commands.
 */
enum CheckExitCode : int {
  kCheckClean = 0,
  kCheckFindings = 1,
  kCheckUnreadable = 2,
};

Json ToJson(const ConfigurationCheck& check) {
  Json findings = Json::array();
  for (const ConfigurationFinding& finding : check.findings)
    findings.push_back({{"kind", NameOf(finding.kind)},
                        {"path", finding.path},
                        {"message", finding.message}});
  Json differences = Json::array();
  for (const ConfigurationDifference& difference : check.differences)
    differences.push_back({{"path", difference.path},
                           {"before", difference.before},
                           {"after", difference.after}});
  return {{"findings", findings}, {"differences", differences}};
}

void PrintText(const ConfigurationCheck& check) {
  for (const ConfigurationFinding& finding : check.findings)
    std::cout << NameOf(finding.kind) << " " << finding.path << ": "
              << finding.message << "\n";
  for (const ConfigurationDifference& difference : check.differences) {
    if (difference.before.empty())
      std::cout << "added " << difference.path << ": " << difference.after;
    else if (difference.after.empty())
      std::cout << "removed " << difference.path << ": " << difference.before;
    else
      std::cout << "changed " << difference.path << ": " << difference.before
                << " -> " << difference.after;
    std::cout << "\n";
  }
  std::cout << check.findings.size() << " findings, "
            << check.differences.size() << " differences\n";
}

int RunRoutesCheck(const Values& values) {
  const Result<std::string> text =
      ReadWholeFile(values["file"].as<std::string>());
  std::optional<std::string> in_force;
  if (values.count("against") > 0) {
    const Result<std::string> against =
        ReadWholeFile(values["against"].as<std::string>());
    if (!against.ok()) {
      std::cerr << "--against: the file can't be read\n";
      return kCheckUnreadable;
    }
    in_force = against.value();
  }
  if (!text.ok()) {
    std::cerr << "--file: the file can't be read\n";
    return kCheckUnreadable;
  }
  const std::optional<ConfigurationCheck> check =
      CheckConfigurationOfRoutes(text.value(), in_force);
  if (!check) {
    std::cerr << "a file is no JSON object\n";
    return kCheckUnreadable;
  }
  if (values.count("json") > 0)
    std::cout << ToJson(*check).dump(2, ' ', true,
                                     Json::error_handler_t::replace)
              << "\n";
  else
    PrintText(*check);
  return check->findings.empty() ? kCheckClean : kCheckFindings;
}

}  // namespace

std::vector<Command> MakeRoutesCommands() {
  Command check{"routes check",
                "check a configuration of routes of the platform",
                options::options_description("options"), &RunRoutesCheck};
  check.options.add_options()("help", "show this text")(
      "file", options::value<std::string>()->required(),
      "configuration in JSON, - for standard input")(
      "against", options::value<std::string>(),
      "the version in force, to compare with")("json", "print JSON");
  return {check};
}

}  // namespace dogwoodfall
