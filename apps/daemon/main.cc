/** @file
 * dogwoodfalld: the dispatcher daemon.
 */

#include <signal.h>

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "adapters/logging/logging.h"
#include "daemon/daemon.h"
#include "daemon/fleet_daemon.h"
#include "settings/fleet_settings.h"
#include "settings/settings.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;
constexpr int kExitCannotListen = 4;

/** Runs a daemon of either kind with its parsed settings. */
template <typename DaemonType, typename Settings>
int RunParsed(
    const std::string& path,
    const std::variant<Settings, std::vector<dogwoodfall::SettingsError>>&
        parsed,
    bool only_check) {
  if (const auto* faults =
          std::get_if<std::vector<dogwoodfall::SettingsError>>(&parsed)) {
    for (const dogwoodfall::SettingsError& fault : *faults) {
      std::cerr << path << ": " << fault.path << ": found " << fault.found
                << ", allowed is " << fault.allowed << "\n";
    }
    return kExitBadSettings;
  }
  if (only_check)
    return 0;
  const auto& settings = std::get<Settings>(parsed);
  dogwoodfall::SetUpLogging(settings.is_log_quiet);
  auto daemon = DaemonType::Create(settings);
  if (!daemon.ok()) {
    std::cerr << daemon.error().detail << "\n";
    return kExitCannotListen;
  }
  return daemon.Take()->Run();
}

int RunWith(const std::string& path, bool only_check) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": can't be read\n";
    return kExitBadSettings;
  }
  std::stringstream text;
  text << file.rdbuf();
  if (dogwoodfall::IsFleetSettings(text.str())) {
    return RunParsed<dogwoodfall::FleetDaemon, dogwoodfall::FleetSettings>(
        path, dogwoodfall::ParseFleetSettings(text.str()), only_check);
  }
  return RunParsed<dogwoodfall::Daemon, dogwoodfall::DaemonSettings>(
      path, dogwoodfall::ParseSettings(text.str()), only_check);
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  options::options_description description("dogwoodfalld");
  description.add_options()("help", "show this text")(
      "settings", options::value<std::string>(), "settings file (JSON)")(
      "check", "check the settings file and exit")(
      "list-settings", "print every setting as a table and exit");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << description;
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  if (values.count("list-settings") > 0) {
    std::cout << "| path | unit | default | allowed | meaning |\n"
                 "|---|---|---|---|---|\n";
    for (const auto& row : dogwoodfall::SettingsTable()) {
      std::cout << "| " << row.path << " | " << row.unit << " | "
                << row.default_value << " | " << row.range << " | "
                << row.meaning << " |\n";
    }
    return 0;
  }
  if (values.count("settings") == 0) {
    std::cerr << description;
    return kExitUsage;
  }
  return RunWith(values["settings"].as<std::string>(),
                 values.count("check") > 0);
}
