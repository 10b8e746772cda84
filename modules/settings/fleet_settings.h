#ifndef DOGWOODFALL_MODULES_SETTINGS_FLEET_SETTINGS_H_
#define DOGWOODFALL_MODULES_SETTINGS_FLEET_SETTINGS_H_

#include <string>
#include <variant>
#include <vector>

#include "adapters/http/http_client.h"
#include "model/daemon_member.h"
#include "settings/settings.h"

namespace dogwoodfall {

/** What a daemon on the users' platform reads from its settings file. */
struct FleetSettings {
  /** Id, zone and the addresses that peers use. */
  DaemonMember self;
  HttpAddress callers;
  HttpAddress readiness;
  HttpAddress operators;
  /** Second address for metrics; a port of 0 for none. */
  HttpAddress metrics;
  HttpAddress store;
  bool is_log_quiet = false;
};

/** Either settings or every fault of the text. */
using ParsedFleetSettings =
    std::variant<FleetSettings, std::vector<SettingsError>>;

/** True when a settings text is for a daemon on the users' platform. */
bool IsFleetSettings(const std::string& text);

/** Reads and checks a settings text; keys that are not known are ignored, as
 * the platform may add some.
 */
ParsedFleetSettings ParseFleetSettings(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_SETTINGS_FLEET_SETTINGS_H_
