#include "settings/settings.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;
using Faults = std::vector<SettingsError>;

constexpr size_t kLongestName = 64;
constexpr size_t kLongestShown = 60;
constexpr int64_t kMostPort = 65'535;
constexpr int64_t kMostMillis = 86'400'000;
constexpr int64_t kMostCount = 10'000'000;
constexpr int64_t kMostBytes = 4'000'000'000;

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kLongestName &&
         text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyz"
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "0123456789_-") == std::string::npos;
}

/** One setting: where it stands, what is allowed, and how it is taken over. */
struct Field {
  std::string path;
  std::string unit;
  /** Null for a setting that must be given. */
  Json default_value;
  std::string range;
  std::string meaning;
  std::function<bool(const Json&)> is_allowed;
  std::function<void(const Json&)> take;
};

class FieldList {
 public:
  /** A text that must be given. */
  void Name(const char* path, const char* meaning, std::string& target) {
    this->fields.push_back(
        {path, "", nullptr, "1 to 64 letters, digits, _ and -", meaning,
         [](const Json& json) {
           return json.is_string() && IsName(json.get<std::string>());
         },
         [&target](const Json& json) { target = json.get<std::string>(); }});
  }

  void Ip(const char* path, const char* meaning, std::string& target) {
    this->fields.push_back(
        {path, "", nullptr, "an IPv4 number", meaning,
         [](const Json& json) {
           return json.is_string() && IsIpNumber(json.get<std::string>());
         },
         [&target](const Json& json) { target = json.get<std::string>(); }});
  }

  void Port(const char* path, const char* meaning, uint16_t& target) {
    this->AddNumber(
        path, "", nullptr, 1, kMostPort, meaning,
        [&target](int64_t value) { target = static_cast<uint16_t>(value); });
  }

  void Time(const char* path,
            int64_t least,
            const char* meaning,
            Millis& target) {
    this->AddNumber(path, "ms", target.count, least, kMostMillis, meaning,
                    [&target](int64_t value) { target.count = value; });
  }

  template <typename Number>
  void Count(const char* path,
             const char* unit,
             int64_t least,
             const char* meaning,
             Number& target) {
    const bool is_bytes = std::string(unit) == "bytes";
    const int64_t most =
        is_bytes && sizeof(Number) > 4 ? kMostBytes : kMostCount;
    this->AddNumber(
        path, unit, target, least, most, meaning,
        [&target](int64_t value) { target = static_cast<Number>(value); });
  }

  void Bool(const char* path, const char* meaning, bool& target) {
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
                 int64_t least,
                 int64_t most,
                 const char* meaning,
                 std::function<void(int64_t)> take) {
    this->fields.push_back(
        {path, unit, std::move(default_value),
         std::to_string(least) + " to " + std::to_string(most), meaning,
         [least, most](const Json& json) {
           return json.is_number_integer() && json >= least && json <= most;
         },
         [take = std::move(take)](const Json& json) {
           take(json.get<int64_t>());
         }});
  }
};

void AddAddresses(FieldList& list, DaemonSettings& settings) {
  list.Name("/daemon/id", "Name of the daemon, as in the platform's list",
            settings.node.self.id.value);
  list.Name("/daemon/zone", "Availability zone of the daemon",
            settings.node.zone.value);
  list.Ip("/callers/ip", "Address of the callers' listener",
          settings.callers.ip);
  list.Port("/callers/port", "TCP port of the callers' listener",
            settings.callers.port);
  list.Ip("/operators/ip", "Address of the operators' listener",
          settings.operators.ip);
  list.Port("/operators/port", "TCP port of the operators' listener",
            settings.operators.port);
  list.Ip("/peers/ip", "Address of both peer listeners", settings.peers_ip);
  list.Port("/peers/tcp_port", "TCP port for work and answers",
            settings.peer_tcp_port);
  list.Port("/peers/udp_port", "UDP port for heartbeats",
            settings.peer_udp_port);
  list.Ip("/store/ip", "Address of the platform's store", settings.store.ip);
  list.Port("/store/port", "TCP port of the store's JSON gateway",
            settings.store.port);
  list.Ip("/instances/ip", "Address of the platform's list of instances",
          settings.instances.ip);
  list.Port("/instances/port", "TCP port of the list", settings.instances.port);
}

void AddCallerFields(FieldList& list, DaemonSettings& settings) {
  list.Count("/callers/max_body_bytes", "bytes", 1'000,
             "Largest body of a request",
             settings.caller_connections.max_body_bytes);
  list.Count("/callers/max_connections", "", 1,
             "Connections served; up to twice as many are refused with a code",
             settings.caller_connections.max_connections);
  list.Count("/callers/read_timeout_ms", "ms", 100,
             "Longest pause inside a request",
             settings.caller_connections.read_timeout_ms);
  list.Count("/callers/max_tasks_per_job", "", 1, "Most tasks of one job",
             settings.caller_limits.max_tasks);
  list.Time("/callers/longest_deadline_ms", 1, "Longest deadline of a job",
            settings.caller_limits.longest_deadline);
}

void AddTimeFields(FieldList& list, DaemonSettings& settings) {
  NodeSettings& node = settings.node;
  list.Time("/tick_period_ms", 1, "Period of the core's clock",
            settings.tick_period);
  list.Time("/store/timeout_ms", 10, "Time after which a call has no answer",
            settings.store_timeout);
  list.Time("/store/configuration_period_ms", 50,
            "Period of reading the two lists", node.configuration_period);
  list.Time("/instances/period_ms", 50, "Period of reading the list",
            settings.instances_period);
  list.Time("/peers/heartbeat_period_ms", 10, "Period of heartbeats",
            node.heartbeat_period);
  list.Time("/peers/unreachable_after_ms", 50,
            "Silence after which a daemon is out of reach",
            node.membership.unreachable_after);
  list.Time("/peers/gone_after_ms", 50,
            "Silence after which a daemon that left the list is gone",
            node.membership.gone_after);
  list.Time("/peers/resend_after_ms", 10,
            "Pause before unacknowledged messages are sent again",
            node.sessions.resend_after);
  list.Count("/peers/max_frame_bytes", "bytes", 100'000,
             "Largest message between daemons",
             settings.peer_limits.max_frame_bytes);
  list.Time("/instances/longest_lag_ms", 0,
            "Age of a daemon that the list need not have yet",
            node.membership.max_list_lag);
  list.Time("/instances/shrink_hold_ms", 0,
            "How long a list that lost half its endpoints is not believed",
            node.membership.shrink_hold);
  list.Time("/submissions/window_ms", 1'000,
            "How long ended submissions and claims are known",
            node.ledger.window);
  list.Count("/submissions/max_records", "", 100,
             "Submissions held, running and ended", node.ledger.max_records);
  list.Count("/submissions/max_answer_bytes", "bytes", 100'000,
             "Bytes of outputs held for resubmissions",
             node.ledger.max_answer_bytes);
  list.Time("/claims/longest_wait_ms", 10,
            "Longest wait for the claim of a caller's own id",
            node.claims.max_wait);
  list.Time("/claims/table_period_ms", 50,
            "Period of reading the table of slots without a cause",
            node.claims.table_period);
  list.Count("/claims/slots", "", 1,
             "Parts of the callers' own ids; the same in every daemon",
             node.claims.slots);
  list.Count("/claims/writes_per_second", "writes/s", 1,
             "Claim writes of all daemons together; the same in every daemon",
             node.claims.writes_per_second);
  list.Count("/claims/most_owners", "", 1,
             "Daemons that own slots; the same in every daemon",
             node.claims.max_owners);
  list.Time("/claims/clock_skew_ms", 0,
            "How far the time in a caller's own id may be ahead",
            node.claims.clock_skew);
  list.Time("/tasks/longest_lease_ms", 100, "Longest lease of one task",
            node.max_lease);
  list.Count("/tasks/max_tries", "", 1,
             "Starts of one task that may be refused or not connected",
             node.max_start_attempts);
  list.Count("/tasks/max_output_bytes", "bytes", 1'000,
             "Outputs of one submission together", node.max_output_bytes);
  list.Count("/endpoints/failures_in_row", "", 1,
             "Failures in a row after which an endpoint is ejected",
             node.ejection.failures_in_row);
  list.Time("/endpoints/first_pause_ms", 1,
            "Time out of service after the first ejection; doubles with each",
            node.ejection.initial_pause);
  list.Time("/endpoints/longest_pause_ms", 1, "Longest time out of service",
            node.ejection.max_pause);
  list.Time("/drain/deadline_ms", 100, "Longest planned stop",
            node.drain_timeout);
  list.Time("/drain/store_wait_ms", 10,
            "Longest wait for the store in a planned stop",
            node.drain_store_timeout);
  list.Bool("/log/quiet", "True to log warnings only", settings.is_log_quiet);
}

/** Every field, bound to the settings it fills. */
std::vector<Field> FieldsOf(DaemonSettings& settings) {
  FieldList list;
  AddAddresses(list, settings);
  AddCallerFields(list, settings);
  AddTimeFields(list, settings);
  return std::move(list.fields);
}

/** True when a path is a setting or leads to one. */
bool IsKnown(const std::vector<Field>& fields, const std::string& path) {
  for (const Field& field : fields) {
    if (field.path == path ||
        field.path.compare(0, path.size() + 1, path + "/") == 0)
      return true;
  }
  return false;
}

bool IsField(const std::vector<Field>& fields, const std::string& path) {
  return std::any_of(fields.begin(), fields.end(), [&path](const Field& field) {
    return field.path == path;
  });
}

void FindUnknown(const Json& json,
                 const std::string& path,
                 const std::vector<Field>& fields,
                 Faults& faults) {
  for (const auto& [key, value] : json.items()) {
    const std::string here = path + "/" + key;
    if (!IsKnown(fields, here))
      faults.push_back(
          {here, value.dump().substr(0, kLongestShown), "no such setting"});
    else if (value.is_object())
      FindUnknown(value, here, fields, faults);
    else if (!IsField(fields, here))
      faults.push_back(
          {here, value.dump().substr(0, kLongestShown), "an object"});
  }
}

void TakeField(const Json& json, const Field& field, Faults& faults) {
  const Json::json_pointer pointer(field.path);
  if (!json.contains(pointer)) {
    if (field.default_value.is_null())
      faults.push_back({field.path, "nothing", field.range});
    return;
  }
  const Json& value = json[pointer];
  if (field.is_allowed(value))
    field.take(value);
  else
    faults.push_back(
        {field.path, value.dump().substr(0, kLongestShown), field.range});
}

/** What comes from callers and endpoints has to fit a message to a peer. */
void CheckFrameFits(const DaemonSettings& settings, Faults& faults) {
  const size_t most = settings.peer_limits.max_frame_bytes / 2;
  const std::string allowed =
      "at most half of /peers/max_frame_bytes: " + std::to_string(most);
  const size_t body = settings.caller_connections.max_body_bytes;
  const size_t output = settings.node.max_output_bytes;
  if (body > most)
    faults.push_back(
        {"/callers/max_body_bytes", std::to_string(body), allowed});
  if (output > most)
    faults.push_back(
        {"/tasks/max_output_bytes", std::to_string(output), allowed});
}

}  // namespace

ParsedSettings ParseSettings(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return Faults{{"/", text.substr(0, kLongestShown), "a JSON object"}};
  DaemonSettings settings;
  const std::vector<Field> fields = FieldsOf(settings);
  Faults faults;
  FindUnknown(json, "", fields, faults);
  for (const Field& field : fields)
    TakeField(json, field, faults);
  CheckFrameFits(settings, faults);
  if (!faults.empty())
    return faults;
  settings.node.claims.window = settings.node.ledger.window;
  return settings;
}

std::vector<SettingRow> SettingsTable() {
  DaemonSettings settings;
  std::vector<SettingRow> rows;
  for (const Field& field : FieldsOf(settings)) {
    rows.push_back({field.path, field.unit,
                    field.default_value.is_null() ? "none, must be given"
                                                  : field.default_value.dump(),
                    field.range, field.meaning});
  }
  return rows;
}

}  // namespace dogwoodfall
