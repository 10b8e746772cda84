#include "settings/settings.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;
using Errors = std::vector<SettingsError>;

constexpr size_t kMaxNameLength = 64;
/** Max length of a value that an error quotes. */
constexpr size_t kMaxShownLength = 60;
constexpr int64_t kMaxPort = 65'535;
/** Max of durations: one day. */
constexpr int64_t kMaxMillis = 86'400'000;
/** Max of numbers other than ports, durations and 64-bit sizes. */
constexpr int64_t kMaxCount = 10'000'000;
/** Max of sizes in bytes that are held in 64 bits. */
constexpr int64_t kMaxBytes = 4'000'000'000;

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyz"
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "0123456789_-") == std::string::npos;
}

/** A setting: its path, its allowed values, and how to apply a value. */
struct Field {
  std::string path;
  std::string unit;
  /** Null for a required setting. */
  Json default_value;
  std::string range;
  std::string meaning;
  std::function<bool(const Json&)> is_allowed;
  std::function<void(const Json&)> apply;
};

/** Collects fields. Each is bound to its target, whose value at that time is
 * the default of an optional setting.
 */
class FieldList {
 public:
  /** Adds a required name. */
  void AddName(const char* path, const char* meaning, std::string& target) {
    this->fields.push_back(
        {path, "", nullptr, "1 to 64 letters, digits, _ and -", meaning,
         [](const Json& json) {
           return json.is_string() && IsName(json.get<std::string>());
         },
         [&target](const Json& json) { target = json.get<std::string>(); }});
  }

  void AddIp(const char* path, const char* meaning, std::string& target) {
    this->fields.push_back(
        {path, "", nullptr, "an IPv4 address", meaning,
         [](const Json& json) {
           return json.is_string() && IsIpv4Address(json.get<std::string>());
         },
         [&target](const Json& json) { target = json.get<std::string>(); }});
  }

  void AddPort(const char* path, const char* meaning, uint16_t& target) {
    this->AddNumber(
        path, "", nullptr, 1, kMaxPort, meaning,
        [&target](int64_t value) { target = static_cast<uint16_t>(value); });
  }

  void AddDuration(const char* path,
                   int64_t min,
                   const char* meaning,
                   Millis& target) {
    this->AddNumber(path, "ms", target.count, min, kMaxMillis, meaning,
                    [&target](int64_t value) { target.count = value; });
  }

  template <typename Number>
  void AddCount(const char* path,
                const char* unit,
                int64_t min,
                const char* meaning,
                Number& target) {
    const bool is_bytes = std::string(unit) == "bytes";
    const int64_t max = is_bytes && sizeof(Number) > 4 ? kMaxBytes : kMaxCount;
    this->AddNumber(
        path, unit, target, min, max, meaning,
        [&target](int64_t value) { target = static_cast<Number>(value); });
  }

  void AddBool(const char* path, const char* meaning, bool& target) {
    this->fields.push_back(
        {path, "", target, "true or false", meaning,
         [](const Json& json) { return json.is_boolean(); },
         [&target](const Json& json) { target = json.get<bool>(); }});
  }

  std::vector<Field> fields;

 private:
  void AddNumber(const char* path,
                 const char* unit,
                 Json default_value,
                 int64_t min,
                 int64_t max,
                 const char* meaning,
                 std::function<void(int64_t)> apply) {
    this->fields.push_back(
        {path, unit, std::move(default_value),
         std::to_string(min) + " to " + std::to_string(max), meaning,
         [min, max](const Json& json) {
           return json.is_number_integer() && json >= min && json <= max;
         },
         [apply = std::move(apply)](const Json& json) {
           apply(json.get<int64_t>());
         }});
  }
};

void AddAddresses(FieldList& list, DaemonSettings& settings) {
  list.AddName("/daemon/id", "Id of the daemon, as in the platform's list",
               settings.node.self.id.value);
  list.AddName("/daemon/zone", "Availability zone of the daemon",
               settings.node.zone.value);
  list.AddIp("/callers/ip", "Address of the callers' listener",
             settings.callers.ip);
  list.AddPort("/callers/port", "TCP port of the callers' listener",
               settings.callers.port);
  list.AddIp("/operators/ip", "Address of the operators' listener",
             settings.operators.ip);
  list.AddPort("/operators/port", "TCP port of the operators' listener",
               settings.operators.port);
  list.AddIp("/peers/ip", "Address of both peer listeners", settings.peers_ip);
  list.AddPort("/peers/tcp_port", "TCP port for tasks and answers",
               settings.peer_tcp_port);
  list.AddPort("/peers/udp_port", "UDP port for heartbeats",
               settings.peer_udp_port);
  list.AddIp("/store/ip", "Address of the platform's store", settings.store.ip);
  list.AddPort("/store/port", "TCP port of the store's JSON gateway",
               settings.store.port);
  list.AddIp("/instances/ip", "Address of the platform's list of instances",
             settings.instances.ip);
  list.AddPort("/instances/port", "TCP port of the list of instances",
               settings.instances.port);
}

void AddCallerFields(FieldList& list, DaemonSettings& settings) {
  list.AddCount("/callers/max_body_bytes", "bytes", 1'000,
                "Maximum size of a request body",
                settings.caller_connections.max_body_bytes);
  list.AddCount(
      "/callers/max_connections", "", 1,
      "Maximum number of connections served; as many again get a refusal",
      settings.caller_connections.max_connections);
  list.AddCount("/callers/read_timeout_ms", "ms", 100,
                "Maximum pause while a request is read",
                settings.caller_connections.read_timeout_ms);
  list.AddCount("/callers/max_head_bytes", "bytes", 1'000,
                "Maximum size of a request line with its header lines",
                settings.caller_connections.max_head_bytes);
  list.AddCount("/callers/max_header_lines", "", 10,
                "Maximum number of header lines of a request",
                settings.caller_connections.max_header_lines);
  list.AddCount("/callers/max_empty_lines", "", 1,
                "Maximum number of empty lines before a request",
                settings.caller_connections.max_empty_lines);
  list.AddCount("/callers/head_timeout_ms", "ms", 100,
                "Maximum time from the first byte of a head to its end",
                settings.caller_connections.head_timeout_ms);
  list.AddCount("/callers/min_body_rate", "bytes/s", 0,
                "Minimum mean rate of a body after 20 s; 0 for none",
                settings.caller_connections.min_body_rate);
  list.AddCount("/callers/max_held_bytes", "bytes", 0,
                "Maximum of what all callers' connections hold together; 0 for "
                "an eighth of /limits/memory_mb",
                settings.caller_connections.max_held_bytes);
  list.AddCount("/limits/memory_mb", "MB", 16,
                "Memory of the instance, of which listeners and clients get "
                "fixed shares",
                settings.memory_mb);
  list.AddCount("/callers/max_tasks_per_job", "", 1,
                "Maximum number of tasks in one job",
                settings.caller_limits.max_tasks);
  list.AddDuration("/callers/longest_deadline_ms", 1,
                   "Maximum deadline of a job",
                   settings.caller_limits.max_deadline);
}

void AddNodeFields(FieldList& list, DaemonSettings& settings) {
  NodeSettings& node = settings.node;
  list.AddDuration("/tick_period_ms", 1, "Period of the core's ticks",
                   settings.tick_period);
  list.AddDuration("/store/timeout_ms", 10,
                   "Time after which a call counts as unanswered",
                   settings.store_timeout);
  list.AddDuration("/store/configuration_period_ms", 50,
                   "Period of reading the configuration",
                   node.configuration_period);
  list.AddDuration("/instances/period_ms", 50,
                   "Period of reading the list of instances",
                   settings.instances_period);
  list.AddDuration("/peers/heartbeat_period_ms", 10,
                   "Period of sending heartbeats", node.heartbeat_period);
  list.AddDuration(
      "/peers/unreachable_after_ms", 50,
      "Time without a heartbeat after which a daemon is unreachable",
      node.membership.unreachable_after);
  list.AddDuration(
      "/peers/gone_after_ms", 50,
      "Time without a heartbeat after which an unlisted daemon is gone",
      node.membership.gone_after);
  list.AddDuration("/peers/resend_after_ms", 10,
                   "Time after which unacknowledged messages are sent again",
                   node.sessions.resend_after);
  list.AddCount("/peers/max_frame_bytes", "bytes", 100'000,
                "Maximum size of a message between daemons",
                settings.peer_limits.max_frame_bytes);
  list.AddDuration("/instances/longest_lag_ms", 0,
                   "Maximum age of a daemon that the list may not contain yet",
                   node.membership.max_list_lag);
  list.AddDuration("/instances/shrink_hold_ms", 0,
                   "How long a list that lost half its endpoints is ignored",
                   node.membership.shrink_hold);
  list.AddDuration("/submissions/window_ms", 1'000,
                   "How long ended submissions and claims are retained",
                   node.ledger.window);
  list.AddCount("/submissions/max_records", "", 100,
                "Maximum number of submissions held, running and ended",
                node.ledger.max_records);
  list.AddCount("/submissions/max_answer_bytes", "bytes", 100'000,
                "Maximum total size of outputs held for resubmissions",
                node.ledger.max_answer_bytes);
  list.AddDuration("/claims/longest_wait_ms", 10,
                   "Maximum wait for the claim of an id chosen by the caller",
                   node.claims.max_wait);
  list.AddDuration("/claims/table_period_ms", 50,
                   "Period of reading the slot table when no event requires it",
                   node.claims.table_period);
  list.AddCount(
      "/claims/slots", "", 1,
      "Number of hash slots of callers' ids; the same in every daemon",
      node.claims.slots);
  list.AddCount(
      "/claims/writes_per_second", "writes/s", 1,
      "Maximum rate of claim writes over all daemons; the same in every "
      "daemon",
      node.claims.writes_per_second);
  list.AddCount(
      "/claims/most_owners", "", 1,
      "Maximum number of daemons that own slots; the same in every daemon",
      node.claims.max_owners);
  list.AddDuration(
      "/claims/clock_skew_ms", 0,
      "How far the time in an id chosen by the caller may be ahead",
      node.claims.clock_skew);
  list.AddDuration("/tasks/longest_lease_ms", 100, "Maximum lease of one task",
                   node.max_lease);
  list.AddCount("/tasks/max_tries", "", 1,
                "Maximum number of refused or unconnected starts of one task",
                node.max_start_attempts);
  list.AddCount("/tasks/max_output_bytes", "bytes", 1'000,
                "Maximum total output of one submission",
                node.max_output_bytes);
  list.AddCount("/endpoints/failures_in_row", "", 1,
                "Consecutive failures after which an endpoint is ejected",
                node.ejection.failures_in_row);
  list.AddDuration(
      "/endpoints/first_pause_ms", 1,
      "Time out of service after the first ejection; doubles with each next",
      node.ejection.initial_pause);
  list.AddDuration("/endpoints/longest_pause_ms", 1,
                   "Maximum time out of service", node.ejection.max_pause);
  list.AddDuration("/drain/deadline_ms", 100,
                   "Maximum duration of a graceful shutdown",
                   node.drain_timeout);
  list.AddDuration("/drain/store_wait_ms", 10,
                   "Maximum wait for the store in a graceful shutdown",
                   node.drain_store_timeout);
  list.AddBool("/log/quiet", "True to log warnings only",
               settings.is_log_quiet);
}

/** Returns all fields, bound to the settings that they fill. */
std::vector<Field> MakeFields(DaemonSettings& settings) {
  FieldList list;
  AddAddresses(list, settings);
  AddCallerFields(list, settings);
  AddNodeFields(list, settings);
  return std::move(list.fields);
}

/** Returns true if the path is a setting or a parent of one. */
bool IsKnownPath(const std::vector<Field>& fields, const std::string& path) {
  for (const Field& field : fields) {
    if (field.path == path ||
        field.path.compare(0, path.size() + 1, path + "/") == 0)
      return true;
  }
  return false;
}

bool IsFieldPath(const std::vector<Field>& fields, const std::string& path) {
  return std::any_of(fields.begin(), fields.end(), [&path](const Field& field) {
    return field.path == path;
  });
}

void AddUnknownFieldErrors(const Json& json,
                           const std::string& path,
                           const std::vector<Field>& fields,
                           Errors& errors) {
  for (const auto& [key, value] : json.items()) {
    const std::string child_path = path + "/" + key;
    if (!IsKnownPath(fields, child_path))
      errors.push_back({child_path, value.dump().substr(0, kMaxShownLength),
                        "no such setting"});
    else if (value.is_object())
      AddUnknownFieldErrors(value, child_path, fields, errors);
    else if (!IsFieldPath(fields, child_path))
      errors.push_back(
          {child_path, value.dump().substr(0, kMaxShownLength), "an object"});
  }
}

void ApplyField(const Json& json, const Field& field, Errors& errors) {
  const Json::json_pointer pointer(field.path);
  if (!json.contains(pointer)) {
    if (field.default_value.is_null())
      errors.push_back({field.path, "nothing", field.range});
    return;
  }
  const Json& value = json[pointer];
  if (field.is_allowed(value))
    field.apply(value);
  else
    errors.push_back(
        {field.path, value.dump().substr(0, kMaxShownLength), field.range});
}

/** Checks that request bodies and task outputs fit into a message to a peer.
 * One of more than half the frame size might not fit, since the message has
 * other fields as well.
 */
void CheckFrameLimits(const DaemonSettings& settings, Errors& errors) {
  const size_t max = settings.peer_limits.max_frame_bytes / 2;
  const std::string allowed =
      "at most half of /peers/max_frame_bytes: " + std::to_string(max);
  const size_t body = settings.caller_connections.max_body_bytes;
  const size_t output = settings.node.max_output_bytes;
  if (body > max)
    errors.push_back(
        {"/callers/max_body_bytes", std::to_string(body), allowed});
  if (output > max)
    errors.push_back(
        {"/tasks/max_output_bytes", std::to_string(output), allowed});
}

}  // namespace

ParsedSettings ParseSettings(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return Errors{{"/", text.substr(0, kMaxShownLength), "a JSON object"}};
  DaemonSettings settings;
  const std::vector<Field> fields = MakeFields(settings);
  Errors errors;
  AddUnknownFieldErrors(json, "", fields, errors);
  for (const Field& field : fields)
    ApplyField(json, field, errors);
  CheckFrameLimits(settings, errors);
  if (!errors.empty())
    return errors;
  settings.node.claims.window = settings.node.ledger.window;
  ShareMemory(settings.memory_mb,
              {settings.caller_connections, settings.operator_connections,
               settings.http_client_limits, settings.peer_limits});
  return settings;
}

std::vector<SettingRow> SettingsTable() {
  DaemonSettings settings;
  std::vector<SettingRow> rows;
  for (const Field& field : MakeFields(settings)) {
    rows.push_back({field.path, field.unit,
                    field.default_value.is_null() ? "none, must be given"
                                                  : field.default_value.dump(),
                    field.range, field.meaning});
  }
  return rows;
}

}  // namespace dogwoodfall
