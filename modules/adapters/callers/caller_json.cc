#include "adapters/callers/caller_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "adapters/callers/json_density.h"

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;
using Keys = std::vector<std::string>;

/** Max nesting of a body. Valid requests need fewer levels. */
constexpr int kMaxNestingDepth = 8;

Error MakeError(ResultCode code,
                const std::string& path,
                const std::string& text) {
  return {code, path + ": " + text};
}

/** Parses a JSON object. Nesting deeper than kMaxNestingDepth is an error. */
Result<Json> ParseObject(const std::string& body) {
  if (IsTooDense(body))
    return MakeError(ResultCode::kMalformedRequest, "/",
                     "too many values for its size");
  bool is_too_deep = false;
  const auto check_depth = [&is_too_deep](int depth, Json::parse_event_t,
                                          Json&) {
    is_too_deep = is_too_deep || depth > kMaxNestingDepth;
    return !is_too_deep;
  };
  Json json = Json::parse(body, check_depth, false);
  if (is_too_deep || json.is_discarded() || !json.is_object())
    return MakeError(ResultCode::kMalformedRequest, "/", "not a JSON object");
  return json;
}

std::optional<Error> CheckKeys(const Json& json,
                               const std::string& path,
                               const Keys& known) {
  for (const auto& [key, value] : json.items()) {
    if (std::find(known.begin(), known.end(), key) == known.end())
      return MakeError(ResultCode::kUnknownField, path + "/" + key,
                       "unknown field");
  }
  return std::nullopt;
}

Result<std::string> ReadString(const Json& json,
                               const std::string& path,
                               const char* key,
                               size_t max_bytes,
                               bool may_be_empty) {
  const std::string field_path = path + "/" + key;
  if (!json.contains(key)) {
    if (may_be_empty)
      return std::string();
    return MakeError(ResultCode::kMalformedRequest, field_path, "is missing");
  }
  if (!json[key].is_string())
    return MakeError(ResultCode::kMalformedRequest, field_path,
                     "is not a string");
  std::string text = json[key].get<std::string>();
  if (text.size() > max_bytes || (text.empty() && !may_be_empty)) {
    return MakeError(
        ResultCode::kValueOutOfRange, field_path,
        "has a length in bytes outside 1 to " + std::to_string(max_bytes));
  }
  return text;
}

Result<int64_t> ReadNumber(const Json& json,
                           const std::string& path,
                           const char* key,
                           int64_t min,
                           int64_t max) {
  const std::string field_path = path + "/" + key;
  if (!json.contains(key))
    return MakeError(ResultCode::kMalformedRequest, field_path, "is missing");
  const Json& value = json[key];
  if (!value.is_number())
    return MakeError(ResultCode::kMalformedRequest, field_path,
                     "is not a number");
  const bool in_range =
      value.is_number_integer() &&
      (value.is_number_unsigned()
           ? value.get<uint64_t>() <= static_cast<uint64_t>(max) &&
                 static_cast<int64_t>(value.get<uint64_t>()) >= min
           : value.get<int64_t>() >= min && value.get<int64_t>() <= max);
  if (!in_range) {
    return MakeError(ResultCode::kValueOutOfRange, field_path,
                     "is not an integer from " + std::to_string(min) + " to " +
                         std::to_string(max));
  }
  return value.get<int64_t>();
}

Result<bool> ReadBool(const Json& json,
                      const std::string& path,
                      const char* key) {
  if (!json.contains(key))
    return false;
  if (!json[key].is_boolean())
    return MakeError(ResultCode::kMalformedRequest, path + "/" + key,
                     "is not a boolean");
  return json[key].get<bool>();
}

Result<TaskSpec> ReadTask(const Json& json,
                          const std::string& path,
                          const CallerLimits& limits) {
  if (!json.is_object())
    return MakeError(ResultCode::kMalformedRequest, path, "is not an object");
  if (auto error = CheckKeys(
          json, path,
          {"id", "kind", "run_ms", "memory_mb", "payload", "idempotent"}))
    return *error;
  Result<std::string> id =
      ReadString(json, path, "id", limits.max_text_bytes, false);
  Result<std::string> kind =
      ReadString(json, path, "kind", limits.max_text_bytes, false);
  const Result<int64_t> run_time =
      ReadNumber(json, path, "run_ms", 1, limits.max_run_time.count);
  const Result<int64_t> memory =
      ReadNumber(json, path, "memory_mb", 0, limits.max_memory_mb);
  Result<std::string> payload =
      ReadString(json, path, "payload", limits.max_payload_bytes, true);
  const Result<bool> idempotent = ReadBool(json, path, "idempotent");
  for (const Result<std::string>* text : {&id, &kind, &payload}) {
    if (!text->ok())
      return text->error();
  }
  for (const Result<int64_t>* number : {&run_time, &memory}) {
    if (!number->ok())
      return number->error();
  }
  if (!idempotent.ok())
    return idempotent.error();
  TaskSpec task;
  task.id = TaskId(id.Take());
  task.kind = kind.Take();
  task.declared_run_time = {run_time.value()};
  task.declared_memory_mb = memory.value();
  task.payload = payload.Take();
  task.idempotent = idempotent.value();
  return task;
}

/** Parses a body and reads the fields that jobs and single requests share.
 *
 * @param task_key name of the field with the tasks: "tasks" or "task"
 * @param json receives the parsed body
 */
Result<Submission> ReadCommonFields(const std::string& body,
                                    const char* task_key,
                                    const CallerLimits& limits,
                                    Json& json) {
  Result<Json> parsed = ParseObject(body);
  if (!parsed.ok())
    return parsed.error();
  json = parsed.Take();
  if (auto error =
          CheckKeys(json, "", {"customer", "id", "deadline_ms", task_key}))
    return *error;
  Result<std::string> customer =
      ReadString(json, "", "customer", limits.max_text_bytes, false);
  Result<std::string> id =
      ReadString(json, "", "id", 2 * limits.max_text_bytes, true);
  const Result<int64_t> deadline =
      ReadNumber(json, "", "deadline_ms", 1, limits.max_deadline.count);
  if (!customer.ok())
    return customer.error();
  if (!id.ok())
    return id.error();
  if (!deadline.ok())
    return deadline.error();
  Submission submission;
  submission.customer = CustomerId(customer.Take());
  submission.id = SubmissionId(id.Take());
  submission.time_allowed = {deadline.value()};
  return submission;
}

Json ToJson(const TaskOutcome& outcome) {
  return {{"task", outcome.task.value},
          {"output", outcome.output},
          {"endpoint", outcome.endpoint.value},
          {"run_ms", outcome.run_time.count}};
}

Json ToJson(const Waste& waste) {
  return {{"total", waste.Total()},
          {"refused_starts", waste.refused_starts},
          {"failed_connections", waste.failed_connections},
          {"bounced_forwards", waste.bounced_forwards},
          {"repeats", waste.repeats},
          {"dropped_answers", waste.dropped_answers},
          {"stops", waste.stops}};
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

Result<Submission> ParseJob(const std::string& body,
                            const CallerLimits& limits) {
  Json json;
  Result<Submission> common = ReadCommonFields(body, "tasks", limits, json);
  if (!common.ok())
    return common;
  if (!json.contains("tasks") || !json["tasks"].is_array())
    return MakeError(ResultCode::kMalformedRequest, "/tasks",
                     "is missing or not an array");
  const Json& tasks = json["tasks"];
  if (tasks.empty())
    return MakeError(ResultCode::kNoTasks, "/tasks", "is empty");
  if (tasks.size() > limits.max_tasks) {
    return MakeError(ResultCode::kTooManyTasks, "/tasks",
                     "has more entries than the maximum of " +
                         std::to_string(limits.max_tasks));
  }
  Submission submission = common.Take();
  std::set<TaskId> ids;
  for (size_t i = 0; i < tasks.size(); ++i) {
    const std::string path = "/tasks/" + std::to_string(i);
    Result<TaskSpec> task = ReadTask(tasks[i], path, limits);
    if (!task.ok())
      return task.error();
    if (!ids.insert(task.value().id).second)
      return MakeError(ResultCode::kDuplicateTaskId, path + "/id",
                       "duplicates the id of an earlier task");
    submission.tasks.push_back(task.Take());
  }
  return submission;
}

Result<Submission> ParseRequest(const std::string& body,
                                const CallerLimits& limits) {
  Json json;
  Result<Submission> common = ReadCommonFields(body, "task", limits, json);
  if (!common.ok())
    return common;
  if (!json.contains("task"))
    return MakeError(ResultCode::kMalformedRequest, "/task", "is missing");
  Result<TaskSpec> task = ReadTask(json["task"], "/task", limits);
  if (!task.ok())
    return task.error();
  Submission submission = common.Take();
  submission.single_request = true;
  submission.tasks.push_back(task.Take());
  return submission;
}

Result<CustomerId> ParseCustomer(const std::string& body,
                                 const CallerLimits& limits) {
  const Result<Json> parsed = ParseObject(body);
  if (!parsed.ok())
    return parsed.error();
  if (auto error = CheckKeys(parsed.value(), "", {"customer"}))
    return *error;
  Result<std::string> customer =
      ReadString(parsed.value(), "", "customer", limits.max_text_bytes, false);
  if (!customer.ok())
    return customer.error();
  return CustomerId(customer.Take());
}

std::string FormatAnswer(const Answer& answer, const SubmissionId& spare_id) {
  const ResultCodeRow& row = RowOf(answer.code);
  Json json = {{"id", answer.id.value},
               {"status", NameOf(answer.status)},
               {"code", static_cast<int>(row.code)},
               {"code_name", row.name},
               {"state", NameOf(answer.state)},
               {"starts", answer.starts},
               {"response_ms", answer.response_time.count},
               {"ideal_ms", answer.ideal_time.count},
               {"wasted", ToJson(answer.waste)}};
  if (answer.retry_after > Millis{})
    json["retry_after_ms"] = answer.retry_after.count;
  if (!spare_id.value.empty())
    json["spare_id"] = spare_id.value;
  if (answer.status == AnswerStatus::kComplete) {
    json["tasks"] = Json::array();
    for (const TaskOutcome& outcome : answer.outcomes)
      json["tasks"].push_back(ToJson(outcome));
  }
  return Dump(json);
}

std::string FormatRefusal(ResultCode code, const std::string& detail) {
  const ResultCodeRow& row = RowOf(code);
  return Dump({{"id", ""},
               {"status", NameOf(AnswerStatus::kRefused)},
               {"code", static_cast<int>(row.code)},
               {"code_name", row.name},
               {"state", NameOf(StartState::kNotStarted)},
               {"detail", detail}});
}

std::string FormatMintResponse(const SubmissionId& id) {
  return Dump({{"id", id.value}});
}

}  // namespace dogwoodfall
