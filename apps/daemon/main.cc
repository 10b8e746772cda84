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

/** Runs a daemon with its parsed settings, or prints the errors in them.
 * Returns the exit code.
 *
 * @param is_check_only  only check the settings, run nothing
 */
template <typename DaemonType, typename Settings>
int CheckOrRun(
    const std::string& path,
    const std::variant<Settings, std::vector<dogwoodfall::SettingsError>>&
        parsed,
    bool is_check_only) {
  if (const auto* errors =
          std::get_if<std::vector<dogwoodfall::SettingsError>>(&parsed)) {
    for (const dogwoodfall::SettingsError& error : *errors) {
      std::cerr << path << ": " << error.path << ": found " << error.found
                << ", allowed is " << error.allowed << "\n";
    }
    return kExitBadSettings;
  }
  if (is_check_only)
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

/** Settings with the key "fleet" select FleetDaemon, others Daemon. */
int ParseAndRun(const std::string& path, bool is_check_only) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": can't be read\n";
    return kExitBadSettings;
  }
  std::stringstream text;
  text << file.rdbuf();
  if (dogwoodfall::IsFleetSettings(text.str())) {
    return CheckOrRun<dogwoodfall::FleetDaemon, dogwoodfall::FleetSettings>(
        path, dogwoodfall::ParseFleetSettings(text.str()), is_check_only);
  }
  return CheckOrRun<dogwoodfall::Daemon, dogwoodfall::DaemonSettings>(
      path, dogwoodfall::ParseSettings(text.str()), is_check_only);
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
  return ParseAndRun(values["settings"].as<std::string>(),
                     values.count("check") > 0);
}
