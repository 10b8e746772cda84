#ifndef DOGWOODFALL_MODULES_SETTINGS_SETTINGS_H_
#define DOGWOODFALL_MODULES_SETTINGS_SETTINGS_H_

/** @file
 * Module settings: a daemon's settings file and its checks. Depends on base,
 * core (for what the settings decide) and adapters (for their limits).
 */

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "adapters/callers/caller_json.h"
#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "adapters/peers/peer_network.h"
#include "core/node/node_settings.h"

namespace dogwoodfall {

/** Everything a daemon reads from its settings file. */
struct DaemonSettings {
  /** The incarnation is not in the file; the daemon sets it at its start. */
  NodeSettings node;
  HttpAddress callers;
  HttpServerLimits caller_connections;
  CallerLimits caller_limits;
  HttpAddress operators;
  std::string peers_ip;
  uint16_t peer_tcp_port = 0;
  uint16_t peer_udp_port = 0;
  PeerNetworkLimits peer_limits;
  HttpAddress store;
  Millis store_timeout{1'000};
  HttpAddress instances;
  Millis instances_period{500};
  Millis tick_period{5};
  bool is_log_quiet = false;
};

/** One fault of a settings file. */
struct SettingsError {
  /** Path in the file, such as /callers/port. */
  std::string path;
  std::string found;
  std::string allowed;
};

/** Either settings or every fault of the text. */
using ParsedSettings = std::variant<DaemonSettings, std::vector<SettingsError>>;

/** Reads and checks a whole settings text. Unknown keys are faults.
 *
 * @see docs/SETTINGS.md for every key with unit, default and range
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

/** Every setting in the order of the documentation. */
std::vector<SettingRow> SettingsTable();

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_SETTINGS_SETTINGS_H_
