#ifndef DOGWOODFALL_MODULES_SETTINGS_FLEET_SETTINGS_H_
#define DOGWOODFALL_MODULES_SETTINGS_FLEET_SETTINGS_H_

#include <string>
#include <variant>
#include <vector>

#include "adapters/http/http_client.h"
#include "model/daemon_member.h"
#include "settings/settings.h"

namespace dogwoodfall {

/** The content of the settings file of a daemon on the users' platform. */
struct FleetSettings {
  /** Id, zone, weight, and the addresses that peers use. */
  DaemonMember self;
  HttpAddress callers;
  HttpAddress readiness;
  HttpAddress operators;
  /** Additional address for metrics; port 0 for none. */
  HttpAddress metrics;
  HttpAddress store;
  bool is_log_quiet = false;
};

/** Either the settings or all errors of the text. */
using ParsedFleetSettings =
    std::variant<FleetSettings, std::vector<SettingsError>>;

/** Returns true if a settings text is for a daemon on the users' platform. */
bool IsFleetSettings(const std::string& text);

/** Parses and checks a settings text. Unknown keys are ignored, since the
 * platform may add keys.
 */
ParsedFleetSettings ParseFleetSettings(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_SETTINGS_FLEET_SETTINGS_H_
