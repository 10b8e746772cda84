#include "config/configuration_text.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;
using Errors = std::vector<ConfigurationError>;

constexpr uint32_t kMaxWeight = 1'000;
constexpr uint32_t kMaxTasks = 10'000'000;
constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxPatterns = 1'000;
/** Max length of a value that an error quotes. */
constexpr size_t kMaxShownLength = 60;

void AddError(Errors& errors,
              const std::string& path,
              const Json& found,
              const std::string& allowed) {
  errors.push_back({path, found.dump().substr(0, kMaxShownLength), allowed});
}

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         name.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyz"
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "0123456789_-") == std::string::npos;
}

void CheckKeys(const Json& object,
               const std::string& path,
               const std::vector<std::string>& known,
               Errors& errors) {
  for (const auto& [key, value] : object.items()) {
    if (std::find(known.begin(), known.end(), key) == known.end())
      AddError(errors, path + "/" + key, value, "no such field");
  }
  for (const std::string& key : known) {
    if (!object.contains(key))
      errors.push_back({path + "/" + key, "nothing", "a value"});
  }
}

uint32_t ReadCount(const Json& object,
                   const std::string& path,
                   const char* key,
                   uint32_t max,
                   Errors& errors) {
  if (!object.contains(key))
    return 1;
  const Json& value = object[key];
  if (!value.is_number_unsigned() || value.get<uint64_t>() < 1 ||
      value.get<uint64_t>() > max) {
    AddError(errors, path + "/" + key, value,
             "a whole number from 1 to " + std::to_string(max));
    return 1;
  }
  return value.get<uint32_t>();
}

std::vector<std::string> ReadPatterns(const Json& object,
                                      const std::string& path,
                                      Errors& errors) {
  std::vector<std::string> patterns;
  if (!object.contains("endpoints"))
    return patterns;
  const Json& list = object["endpoints"];
  if (!list.is_array() || list.empty() || list.size() > kMaxPatterns) {
    AddError(errors, path + "/endpoints", list,
             "a list of 1 to " + std::to_string(kMaxPatterns) + " patterns");
    return patterns;
  }
  for (size_t i = 0; i < list.size(); ++i) {
    std::string name = list[i].is_string() ? list[i].get<std::string>() : "";
    const bool is_prefix = !name.empty() && name.back() == '*';
    const std::string base_name =
        is_prefix ? name.substr(0, name.size() - 1) : name;
    if (!IsName(base_name) && !(is_prefix && base_name.empty())) {
      AddError(errors, path + "/endpoints/" + std::to_string(i), list[i],
               "a name of an endpoint, or a prefix that ends in *");
      continue;
    }
    patterns.push_back(std::move(name));
  }
  return patterns;
}

PlanLimits ReadPlan(const Json& json, const std::string& path, Errors& errors) {
  PlanLimits plan;
  if (!json.is_object()) {
    AddError(errors, path, json, "an object");
    return plan;
  }
  CheckKeys(json, path,
            {"weight", "tasks_at_once", "starts_per_second", "queued_tasks",
             "endpoints"},
            errors);
  plan.weight = ReadCount(json, path, "weight", kMaxWeight, errors);
  plan.tasks_at_once =
      ReadCount(json, path, "tasks_at_once", kMaxTasks, errors);
  plan.starts_per_second =
      ReadCount(json, path, "starts_per_second", kMaxTasks, errors);
  plan.queued_tasks = ReadCount(json, path, "queued_tasks", kMaxTasks, errors);
  plan.endpoints = ReadPatterns(json, path, errors);
  return plan;
}

void ReadPlans(const Json& json, Configuration& configuration, Errors& errors) {
  if (!json.contains("plans"))
    return;
  if (!json["plans"].is_object()) {
    AddError(errors, "/plans", json["plans"], "an object");
    return;
  }
  for (const auto& [name, plan] : json["plans"].items()) {
    const std::string path = "/plans/" + name;
    if (!IsName(name))
      errors.push_back({path, name, "a name of letters, digits, _ and -"});
    configuration.plans[PlanId(name)] = ReadPlan(plan, path, errors);
  }
}

void ReadCustomers(const Json& json,
                   Configuration& configuration,
                   Errors& errors) {
  if (!json.contains("customers"))
    return;
  if (!json["customers"].is_object()) {
    AddError(errors, "/customers", json["customers"], "an object");
    return;
  }
  for (const auto& [name, plan] : json["customers"].items()) {
    const std::string path = "/customers/" + name;
    if (!IsName(name))
      errors.push_back({path, name, "a name of letters, digits, _ and -"});
    const PlanId id(plan.is_string() ? plan.get<std::string>() : "");
    if (configuration.plans.count(id) == 0)
      AddError(errors, path, plan, "the name of a plan in /plans");
    configuration.customers[CustomerId(name)] = id;
  }
}

}  // namespace

ParsedConfiguration ParseConfiguration(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return Errors{{"/", text.substr(0, kMaxShownLength), "a JSON object"}};
  Errors errors;
  Configuration configuration;
  CheckKeys(json, "", {"revision", "customers", "plans"}, errors);
  if (json.contains("revision")) {
    if (json["revision"].is_number_unsigned() &&
        json["revision"].get<uint64_t>() > 0)
      configuration.revision = json["revision"].get<uint64_t>();
    else
      AddError(errors, "/revision", json["revision"], "a whole number from 1");
  }
  ReadPlans(json, configuration, errors);
  ReadCustomers(json, configuration, errors);
  if (!errors.empty())
    return errors;
  return configuration;
}

std::string FormatConfiguration(const Configuration& configuration) {
  Json json = {{"revision", configuration.revision},
               {"customers", Json::object()},
               {"plans", Json::object()}};
  for (const auto& [customer, plan] : configuration.customers)
    json["customers"][customer.value] = plan.value;
  for (const auto& [id, plan] : configuration.plans) {
    json["plans"][id.value] = {{"weight", plan.weight},
                               {"tasks_at_once", plan.tasks_at_once},
                               {"starts_per_second", plan.starts_per_second},
                               {"queued_tasks", plan.queued_tasks},
                               {"endpoints", plan.endpoints}};
  }
  return json.dump(2);
}

std::string FormatErrors(const std::vector<ConfigurationError>& errors) {
  std::string text;
  for (const ConfigurationError& error : errors) {
    text += error.path + ": found " + error.found + ", allowed is " +
            error.allowed + "\n";
  }
  return text;
}

}  // namespace dogwoodfall
