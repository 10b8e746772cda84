#ifndef DOGWOODFALL_MODULES_SETTINGS_FLEET_SETTINGS_H_
#define DOGWOODFALL_MODULES_SETTINGS_FLEET_SETTINGS_H_

#include <string>
#include <variant>
#include <vector>

#include "adapters/http/http_client.h"
#include "base/millis.h"
#include "core/scheduling/scheduling_options.h"
#include "model/daemon_member.h"
#include "settings/settings.h"

namespace dogwoodfall {

/** Content of the settings file of a fleet daemon, which runs a FleetNode. */
struct FleetSettings {
  /** Id, zone, weight, and the addresses that peers use. */
  DaemonMember self;
  /** Memory of the instance in MB, of which bounds are derived. */
  uint32_t memory_mb = kDefaultMemoryMb;
  /** Address of the callers' listener. */
  HttpAddress callers;
  HttpServerLimits caller_connections;
  /** Limits of each of the other listeners. */
  HttpServerLimits operator_connections;
  HttpClientLimits http_client_limits;
  PeerNetworkLimits peer_limits;
  /** Address of the listener for readiness checks. */
  HttpAddress readiness;
  /** Address of the operators' listener. */
  HttpAddress operators;
  /** Additional address for metrics; port 0 for none. */
  HttpAddress metrics;
  /** Address of the platform's store. */
  HttpAddress store;
  /** Time within which changes have to be received from the store after
   * connections to it have become silent.
   */
  Millis max_store_silence;
  SchedulingOptions scheduling;
  bool is_log_quiet = false;
};

/** Either the settings or all errors of the text. */
using ParsedFleetSettings =
    std::variant<FleetSettings, std::vector<SettingsError>>;

/** Returns true if a settings text is for a fleet daemon, which is marked by
 * the key "fleet".
 */
bool IsFleetSettings(const std::string& text);

/** Parses and checks the settings of a fleet daemon. Unknown keys are ignored,
 * since the platform may add keys.
 */
ParsedFleetSettings ParseFleetSettings(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_SETTINGS_FLEET_SETTINGS_H_
