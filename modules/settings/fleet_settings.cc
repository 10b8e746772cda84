#include "settings/fleet_settings.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;
using Faults = std::vector<SettingsError>;

/** Weight of a whole core; instances have hundredths of one. */
constexpr double kWeightPerCore = 100;
constexpr double kMostCores = 1'024;

const Json* Find(const Json& json, const char* pointer) {
  const Json::json_pointer path(pointer);
  return json.contains(path) ? &json.at(path) : nullptr;
}

void AddFault(Faults& faults,
              const char* path,
              const Json* found,
              const char* allowed) {
  faults.push_back(
      {path, found == nullptr ? "nothing" : found->dump(), allowed});
}

std::string ReadName(const Json& json, const char* path, Faults& faults) {
  const Json* found = Find(json, path);
  if (found != nullptr && found->is_string() &&
      !found->get<std::string>().empty())
    return found->get<std::string>();
  AddFault(faults, path, found, "a name");
  return {};
}

HttpAddress ReadAddress(const Json& json, const char* path, Faults& faults) {
  const Json* found = Find(json, path);
  if (found != nullptr && found->is_string()) {
    const auto address = ParseHttpAddress(found->get<std::string>());
    if (address && IsIpNumber(address->ip))
      return *address;
  }
  AddFault(faults, path, found, "an IPv4 number, a colon and a port");
  return {};
}

uint16_t ReadPort(const Json& json,
                  const char* path,
                  bool is_optional,
                  Faults& faults) {
  constexpr int64_t kMostPort = 65'535;
  const Json* found = Find(json, path);
  if (found == nullptr && is_optional)
    return 0;
  if (found != nullptr && found->is_number_integer() && *found >= 1 &&
      *found <= kMostPort)
    return found->get<uint16_t>();
  AddFault(faults, path, found, "1 to 65535");
  return 0;
}

uint32_t ReadWeight(const Json& json, const char* path, Faults& faults) {
  const Json* found = Find(json, path);
  if (found != nullptr && found->is_number() && *found > 0 &&
      *found <= kMostCores) {
    return std::max<uint32_t>(static_cast<uint32_t>(std::lround(
                                  found->get<double>() * kWeightPerCore)),
                              1);
  }
  AddFault(faults, path, found, "more than 0, at most 1024 cores");
  return 1;
}

}  // namespace

bool IsFleetSettings(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  return json.is_object() && json.contains("fleet");
}

ParsedFleetSettings ParseFleetSettings(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  Faults faults;
  if (!json.is_object()) {
    faults.push_back({"/", "something else", "a JSON object"});
    return faults;
  }
  FleetSettings settings;
  settings.self.id = DaemonId(ReadName(json, "/daemon/id", faults));
  settings.self.zone = ZoneId(ReadName(json, "/daemon/zone", faults));
  settings.self.weight = ReadWeight(json, "/daemon/cores", faults);
  settings.callers = ReadAddress(json, "/callers/address", faults);
  settings.readiness = ReadAddress(json, "/readiness/address", faults);
  settings.operators = ReadAddress(json, "/operators/address", faults);
  settings.store = ReadAddress(json, "/store/address", faults);
  settings.self.ip = settings.operators.ip;
  settings.self.peer_tcp_port = ReadPort(json, "/peers/port", false, faults);
  settings.self.peer_udp_port = settings.self.peer_tcp_port;
  settings.metrics = {settings.operators.ip,
                      ReadPort(json, "/metrics/port", true, faults)};
  const Json* quiet = Find(json, "/log/quiet");
  if (quiet != nullptr && !quiet->is_boolean())
    AddFault(faults, "/log/quiet", quiet, "true or false");
  else
    settings.is_log_quiet = quiet != nullptr && quiet->get<bool>();
  if (!faults.empty())
    return faults;
  return settings;
}

}  // namespace dogwoodfall
