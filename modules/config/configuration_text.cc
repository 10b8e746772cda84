#include "config/configuration_text.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;
using Faults = std::vector<ConfigurationError>;

constexpr uint32_t kMostWeight = 1'000;
constexpr uint32_t kMostTasks = 10'000'000;
constexpr size_t kLongestName = 64;
constexpr size_t kMostPatterns = 1'000;
constexpr size_t kLongestShown = 60;

void AddFault(Faults& faults,
              const std::string& path,
              const Json& found,
              const std::string& allowed) {
  faults.push_back({path, found.dump().substr(0, kLongestShown), allowed});
}

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kLongestName &&
         name.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyz"
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "0123456789_-") == std::string::npos;
}

void CheckKeys(const Json& object,
               const std::string& path,
               const std::vector<std::string>& known,
               Faults& faults) {
  for (const auto& [key, value] : object.items()) {
    if (std::find(known.begin(), known.end(), key) == known.end())
      AddFault(faults, path + "/" + key, value, "no such field");
  }
  for (const std::string& key : known) {
    if (!object.contains(key))
      faults.push_back({path + "/" + key, "nothing", "a value"});
  }
}

uint32_t ReadCount(const Json& object,
                   const std::string& path,
                   const char* key,
                   uint32_t most,
                   Faults& faults) {
  if (!object.contains(key))
    return 1;
  const Json& value = object[key];
  if (!value.is_number_unsigned() || value.get<uint64_t>() < 1 ||
      value.get<uint64_t>() > most) {
    AddFault(faults, path + "/" + key, value,
             "a whole number from 1 to " + std::to_string(most));
    return 1;
  }
  return value.get<uint32_t>();
}

std::vector<std::string> ReadPatterns(const Json& object,
                                      const std::string& path,
                                      Faults& faults) {
  std::vector<std::string> patterns;
  if (!object.contains("endpoints"))
    return patterns;
  const Json& list = object["endpoints"];
  if (!list.is_array() || list.empty() || list.size() > kMostPatterns) {
    AddFault(faults, path + "/endpoints", list,
             "a list of 1 to " + std::to_string(kMostPatterns) + " patterns");
    return patterns;
  }
  for (size_t i = 0; i < list.size(); ++i) {
    std::string name = list[i].is_string() ? list[i].get<std::string>() : "";
    const bool is_prefix = !name.empty() && name.back() == '*';
    const std::string stem = is_prefix ? name.substr(0, name.size() - 1) : name;
    if (!IsName(stem) && !(is_prefix && stem.empty())) {
      AddFault(faults, path + "/endpoints/" + std::to_string(i), list[i],
               "a name of an endpoint, or a prefix that ends in *");
      continue;
    }
    patterns.push_back(std::move(name));
  }
  return patterns;
}

PlanLimits ReadPlan(const Json& json, const std::string& path, Faults& faults) {
  PlanLimits plan;
  if (!json.is_object()) {
    AddFault(faults, path, json, "an object");
    return plan;
  }
  CheckKeys(json, path,
            {"weight", "tasks_at_once", "starts_per_second", "queued_tasks",
             "endpoints"},
            faults);
  plan.weight = ReadCount(json, path, "weight", kMostWeight, faults);
  plan.tasks_at_once =
      ReadCount(json, path, "tasks_at_once", kMostTasks, faults);
  plan.starts_per_second =
      ReadCount(json, path, "starts_per_second", kMostTasks, faults);
  plan.queued_tasks = ReadCount(json, path, "queued_tasks", kMostTasks, faults);
  plan.endpoints = ReadPatterns(json, path, faults);
  return plan;
}

void ReadPlans(const Json& json, Configuration& lists, Faults& faults) {
  if (!json.contains("plans"))
    return;
  if (!json["plans"].is_object()) {
    AddFault(faults, "/plans", json["plans"], "an object");
    return;
  }
  for (const auto& [name, plan] : json["plans"].items()) {
    const std::string path = "/plans/" + name;
    if (!IsName(name))
      faults.push_back({path, name, "a name of letters, digits, _ and -"});
    lists.plans[PlanId(name)] = ReadPlan(plan, path, faults);
  }
}

void ReadCustomers(const Json& json, Configuration& lists, Faults& faults) {
  if (!json.contains("customers"))
    return;
  if (!json["customers"].is_object()) {
    AddFault(faults, "/customers", json["customers"], "an object");
    return;
  }
  for (const auto& [name, plan] : json["customers"].items()) {
    const std::string path = "/customers/" + name;
    if (!IsName(name))
      faults.push_back({path, name, "a name of letters, digits, _ and -"});
    const PlanId id(plan.is_string() ? plan.get<std::string>() : "");
    if (lists.plans.count(id) == 0)
      AddFault(faults, path, plan, "the name of a plan in /plans");
    lists.customers[CustomerId(name)] = id;
  }
}

}  // namespace

ParsedConfiguration ParseConfiguration(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return Faults{{"/", text.substr(0, kLongestShown), "a JSON object"}};
  Faults faults;
  Configuration lists;
  CheckKeys(json, "", {"revision", "customers", "plans"}, faults);
  if (json.contains("revision")) {
    if (json["revision"].is_number_unsigned() &&
        json["revision"].get<uint64_t>() > 0)
      lists.revision = json["revision"].get<uint64_t>();
    else
      AddFault(faults, "/revision", json["revision"], "a whole number from 1");
  }
  ReadPlans(json, lists, faults);
  ReadCustomers(json, lists, faults);
  if (!faults.empty())
    return faults;
  return lists;
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

std::string FormatErrors(const std::vector<ConfigurationError>& faults) {
  std::string text;
  for (const ConfigurationError& fault : faults) {
    text += fault.path + ": found " + fault.found + ", allowed is " +
            fault.allowed + "\n";
  }
  return text;
}

}  // namespace dogwoodfall
