#ifndef DOGWOODFALL_MODULES_SETTINGS_SETTINGS_H_
#define DOGWOODFALL_MODULES_SETTINGS_SETTINGS_H_

/** @file
 * Module settings: the settings file of a daemon and its checks. Depends on
 * base, core (for the settings of the core) and adapters (for their limits).
 */

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "adapters/callers/caller_json.h"
#include "adapters/http/http_client.h"
#include "adapters/http/http_client_limits.h"
#include "adapters/http/http_server_limits.h"
#include "adapters/peers/peer_network.h"
#include "core/node/node_settings.h"
#include "settings/memory_shares.h"

namespace dogwoodfall {

/** Content of the settings file of a daemon that runs a Node.
 *
 * @see FleetSettings
 */
struct DaemonSettings {
  /** The incarnation is not in the file; the daemon sets it at startup. */
  NodeSettings node;
  /** Address of the callers' listener. */
  HttpAddress callers;
  /** Memory of the instance in MB, of which bounds are derived. */
  uint32_t memory_mb = kDefaultMemoryMb;
  HttpServerLimits caller_connections;
  CallerLimits caller_limits;
  /** Address of the operators' listener. */
  HttpAddress operators;
  HttpServerLimits operator_connections;
  HttpClientLimits http_client_limits;
  std::string peers_ip;
  uint16_t peer_tcp_port = 0;
  uint16_t peer_udp_port = 0;
  PeerNetworkLimits peer_limits;
  /** Address of the JSON gateway of the platform's store. */
  HttpAddress store;
  Millis store_timeout{1'000};
  /** Address of the platform's list of instances. */
  HttpAddress instances;
  /** Period of reading the list of instances. */
  Millis instances_period{500};
  Millis tick_period{5};
  bool is_log_quiet = false;
};

/** An error in a settings file. */
struct SettingsError {
  /** JSON pointer in the file, such as /callers/port. */
  std::string path;
  std::string found;
  std::string allowed;
};

/** Either the settings or all errors of the text. */
using ParsedSettings = std::variant<DaemonSettings, std::vector<SettingsError>>;

/** Parses and checks a settings text. Unknown keys are errors.
 *
 * @see docs/SETTINGS.md for all keys with unit, default and range
 */
ParsedSettings ParseSettings(const std::string& text);

/** A row of the table of settings. */
struct SettingRow {
  std::string path;
  std::string unit;
  std::string default_value;
  std::string range;
  std::string meaning;
};

/** Returns all settings in the order of the documentation. */
std::vector<SettingRow> SettingsTable();

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_SETTINGS_SETTINGS_H_
