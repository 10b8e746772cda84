#include "settings/fleet_settings.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;
using Errors = std::vector<SettingsError>;

/** Weight of a whole core; instance sizes have a resolution of 0.01 cores. */
constexpr double kWeightPerCore = 100;
constexpr double kMaxCores = 1'024;

const Json* Find(const Json& json, const char* pointer) {
  const Json::json_pointer path(pointer);
  return json.contains(path) ? &json.at(path) : nullptr;
}

void AddError(Errors& errors,
              const char* path,
              const Json* found,
              const char* allowed) {
  errors.push_back(
      {path, found == nullptr ? "nothing" : found->dump(), allowed});
}

std::string ReadName(const Json& json, const char* path, Errors& errors) {
  const Json* found = Find(json, path);
  if (found != nullptr && found->is_string() &&
      !found->get<std::string>().empty())
    return found->get<std::string>();
  AddError(errors, path, found, "a non-empty name");
  return {};
}

HttpAddress ReadAddress(const Json& json, const char* path, Errors& errors) {
  const Json* found = Find(json, path);
  if (found != nullptr && found->is_string()) {
    const auto address = ParseHttpAddress(found->get<std::string>());
    if (address && IsIpv4Address(address->ip))
      return *address;
  }
  AddError(errors, path, found, "an IPv4 address, a colon and a port");
  return {};
}

uint16_t ReadPort(const Json& json,
                  const char* path,
                  bool is_optional,
                  Errors& errors) {
  constexpr int64_t kMaxPort = 65'535;
  const Json* found = Find(json, path);
  if (found == nullptr && is_optional)
    return 0;
  if (found != nullptr && found->is_number_integer() && *found >= 1 &&
      *found <= kMaxPort)
    return found->get<uint16_t>();
  AddError(errors, path, found, "1 to 65535");
  return 0;
}

uint32_t ReadWeight(const Json& json, const char* path, Errors& errors) {
  const Json* found = Find(json, path);
  if (found != nullptr && found->is_number() && *found > 0 &&
      *found <= kMaxCores) {
    return std::max<uint32_t>(static_cast<uint32_t>(std::lround(
                                  found->get<double>() * kWeightPerCore)),
                              1);
  }
  AddError(errors, path, found, "more than 0, at most 1024 cores");
  return 1;
}

Millis ReadMaxStoreSilence(const Json& json, Errors& errors) {
  constexpr const char* kPath = "/store/max_silence_ms";
  constexpr int64_t kDefaultMs = 3'000;
  constexpr int64_t kMinMs = 1'500;
  constexpr int64_t kMaxMs = 600'000;
  const Json* found = Find(json, kPath);
  if (found == nullptr)
    return {kDefaultMs};
  if (found->is_number_integer() && *found >= kMinMs && *found <= kMaxMs)
    return {found->get<int64_t>()};
  AddError(errors, kPath, found, "1500 to 600000");
  return {kDefaultMs};
}

/** Reads a flag; false if it is missing. */
bool ReadFlag(const Json& json, const char* path, Errors& errors) {
  const Json* found = Find(json, path);
  if (found == nullptr)
    return false;
  if (found->is_boolean())
    return found->get<bool>();
  AddError(errors, path, found, "true or false");
  return false;
}

/** Reads a number into a setting; keeps its default if it is missing. */
template <typename Number>
void ReadCount(const Json& json,
               const char* path,
               int64_t min,
               int64_t max,
               Number& target,
               Errors& errors) {
  const Json* found = Find(json, path);
  if (found == nullptr)
    return;
  if (found->is_number_integer() && *found >= min && *found <= max) {
    target = static_cast<Number>(found->get<int64_t>());
    return;
  }
  const std::string range = std::to_string(min) + " to " + std::to_string(max);
  AddError(errors, path, found, range.c_str());
}

/** Reads the memory of the instance; a fraction is dropped. */
void ReadMemory(const Json& json, uint32_t& memory_mb, Errors& errors) {
  constexpr const char* kPath = "/limits/memory_mb";
  constexpr double kMinMb = 16;
  constexpr double kMaxMb = 10'000'000;
  const Json* found = Find(json, kPath);
  if (found == nullptr)
    return;
  if (found->is_number() && *found >= kMinMb && *found <= kMaxMb)
    memory_mb = static_cast<uint32_t>(found->get<double>());
  else
    AddError(errors, kPath, found, "16 to 10000000");
}

void ReadConnectionLimits(const Json& json,
                          FleetSettings& settings,
                          Errors& errors) {
  constexpr int64_t kMaxCount = 10'000'000;
  constexpr int64_t kMaxBytes = 4'000'000'000;
  HttpServerLimits& limits = settings.caller_connections;
  ReadMemory(json, settings.memory_mb, errors);
  ReadCount(json, "/callers/max_body_bytes", 1'000, kMaxBytes,
            limits.max_body_bytes, errors);
  ReadCount(json, "/callers/max_connections", 1, kMaxCount,
            limits.max_connections, errors);
  ReadCount(json, "/callers/read_timeout_ms", 100, kMaxCount,
            limits.read_timeout_ms, errors);
  ReadCount(json, "/callers/max_head_bytes", 1'000, kMaxBytes,
            limits.max_head_bytes, errors);
  ReadCount(json, "/callers/max_header_lines", 10, kMaxCount,
            limits.max_header_lines, errors);
  ReadCount(json, "/callers/max_empty_lines", 1, kMaxCount,
            limits.max_empty_lines, errors);
  ReadCount(json, "/callers/head_timeout_ms", 100, kMaxCount,
            limits.head_timeout_ms, errors);
  ReadCount(json, "/callers/min_body_rate", 0, kMaxBytes, limits.min_body_rate,
            errors);
  ReadCount(json, "/callers/max_held_bytes", 0, kMaxBytes,
            limits.max_held_bytes, errors);
  ShareMemory(settings.memory_mb,
              {limits, settings.operator_connections,
               settings.http_client_limits, settings.peer_limits});
}

SchedulingOptions ReadSchedulingOptions(const Json& json, Errors& errors) {
  SchedulingOptions options;
  options.long_jobs = ReadFlag(json, "/scheduling/long_jobs", errors);
  options.endpoint_kinds = ReadFlag(json, "/scheduling/endpoint_kinds", errors);
  options.packing = ReadFlag(json, "/scheduling/packing", errors);
  options.admission_forecast =
      ReadFlag(json, "/scheduling/admission_forecast", errors);
  options.interference = ReadFlag(json, "/scheduling/interference", errors);
  options.warm_up = ReadFlag(json, "/scheduling/warm_up", errors);
  return options;
}

}  // namespace

bool IsFleetSettings(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  return json.is_object() && json.contains("fleet");
}

ParsedFleetSettings ParseFleetSettings(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  Errors errors;
  if (!json.is_object()) {
    errors.push_back({"/", "something else", "a JSON object"});
    return errors;
  }
  FleetSettings settings;
  settings.self.id = DaemonId(ReadName(json, "/daemon/id", errors));
  if (settings.self.id.value.find('/') != std::string::npos)
    AddError(errors, "/daemon/id", Find(json, "/daemon/id"),
             "a name without /, as it becomes part of a key in the store");
  settings.self.zone = ZoneId(ReadName(json, "/daemon/zone", errors));
  settings.self.weight = ReadWeight(json, "/daemon/cores", errors);
  settings.callers = ReadAddress(json, "/callers/address", errors);
  settings.readiness = ReadAddress(json, "/readiness/address", errors);
  settings.operators = ReadAddress(json, "/operators/address", errors);
  settings.store = ReadAddress(json, "/store/address", errors);
  settings.max_store_silence = ReadMaxStoreSilence(json, errors);
  settings.self.ip = settings.operators.ip;
  settings.self.peer_tcp_port = ReadPort(json, "/peers/port", false, errors);
  settings.self.peer_udp_port = settings.self.peer_tcp_port;
  settings.metrics = {settings.operators.ip,
                      ReadPort(json, "/metrics/port", true, errors)};
  ReadConnectionLimits(json, settings, errors);
  settings.scheduling = ReadSchedulingOptions(json, errors);
  settings.is_log_quiet = ReadFlag(json, "/log/quiet", errors);
  if (!errors.empty())
    return errors;
  return settings;
}

}  // namespace dogwoodfall
