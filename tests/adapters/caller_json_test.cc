#include "adapters/callers/caller_json.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;

Json MakeValidJob() {
  return {{"customer", "wharf"},
          {"deadline_ms", 1000},
          {"tasks",
           {{{"id", "a"}, {"kind", "k"}, {"run_ms", 10}, {"memory_mb", 1}},
            {{"id", "b"}, {"kind", "k"}, {"run_ms", 10}, {"memory_mb", 1}}}}};
}

ResultCode ParseAndGetCode(const Json& job) {
  const Result<Submission> parsed = ParseJob(job.dump(), CallerLimits());
  return parsed.ok() ? ResultCode::kOk : parsed.error().code;
}

TEST(CallerJsonTest, ParsesAValidJob) {
  const Result<Submission> parsed =
      ParseJob(MakeValidJob().dump(), CallerLimits());
  ASSERT_TRUE(parsed.ok());
  EXPECT_EQ(parsed.value().tasks.size(), 2U);
  EXPECT_EQ(parsed.value().time_allowed, Millis{1000});
  EXPECT_FALSE(parsed.value().tasks[0].idempotent);
}

TEST(CallerJsonTest, RejectsInvalidJson) {
  for (const char* body :
       {"", "{", "[]", "nonsense", "{\"customer\":}", "null"})
    EXPECT_EQ(ParseJob(body, CallerLimits()).error().code,
              ResultCode::kMalformedRequest)
        << body;
}

// Guards against a body whose nesting exhausts the stack or the memory.
TEST(CallerJsonTest, RejectsDeepNesting) {
  const std::string deep = "{\"tasks\":" + std::string(100'000, '[');
  EXPECT_EQ(ParseJob(deep, CallerLimits()).error().code,
            ResultCode::kMalformedRequest);
}

TEST(CallerJsonTest, RejectsNumbersOutOfRange) {
  for (const Json& value : {Json(-1), Json(0), Json(1.5), Json(1e300),
                            Json(UINT64_MAX), Json(INT64_MIN), Json(600'001)}) {
    Json job = MakeValidJob();
    job["deadline_ms"] = value;
    EXPECT_EQ(ParseAndGetCode(job), ResultCode::kValueOutOfRange)
        << value.dump();
  }
}

TEST(CallerJsonTest, RejectsMissingAndUnknownFields) {
  for (const char* field : {"customer", "deadline_ms", "tasks"}) {
    Json job = MakeValidJob();
    job.erase(field);
    EXPECT_EQ(ParseAndGetCode(job), ResultCode::kMalformedRequest) << field;
  }
  Json job = MakeValidJob();
  job["priority"] = 1;
  EXPECT_EQ(ParseAndGetCode(job), ResultCode::kUnknownField);
  job = MakeValidJob();
  job["tasks"][1]["colour"] = "red";
  EXPECT_EQ(ParseAndGetCode(job), ResultCode::kUnknownField);
}

TEST(CallerJsonTest, RejectsDuplicateTaskIds) {
  Json job = MakeValidJob();
  job["tasks"][1]["id"] = "a";
  EXPECT_EQ(ParseAndGetCode(job), ResultCode::kDuplicateTaskId);
}

TEST(CallerJsonTest, LimitsTheNumberOfTasks) {
  Json job = MakeValidJob();
  const Json task = job["tasks"][0];
  job["tasks"] = Json::array();
  EXPECT_EQ(ParseAndGetCode(job), ResultCode::kNoTasks);
  for (int i = 0; i < 1'500; ++i) {
    job["tasks"].push_back(task);
    job["tasks"].back()["id"] = std::to_string(i);
  }
  EXPECT_EQ(ParseAndGetCode(job), ResultCode::kOk);
  job["tasks"].push_back(task);
  EXPECT_EQ(ParseAndGetCode(job), ResultCode::kTooManyTasks);
}

TEST(CallerJsonTest, LimitsTheLengthOfStrings) {
  Json job = MakeValidJob();
  job["customer"] = std::string(101, 'x');
  EXPECT_EQ(ParseAndGetCode(job), ResultCode::kValueOutOfRange);
  job = MakeValidJob();
  job["tasks"][0]["id"] = "";
  EXPECT_EQ(ParseAndGetCode(job), ResultCode::kValueOutOfRange);
  job = MakeValidJob();
  job["tasks"][0]["payload"] = 5;
  EXPECT_EQ(ParseAndGetCode(job), ResultCode::kMalformedRequest);
}

TEST(CallerJsonTest, ParsesASingleRequest) {
  Json request = MakeValidJob();
  request["task"] = request["tasks"][0];
  request["task"]["idempotent"] = true;
  request.erase("tasks");
  const Result<Submission> parsed =
      ParseRequest(request.dump(), CallerLimits());
  ASSERT_TRUE(parsed.ok());
  EXPECT_TRUE(parsed.value().single_request);
  EXPECT_TRUE(parsed.value().tasks[0].idempotent);
}

TEST(CallerJsonTest, FormatsTaskOutcomesOnlyForCompleteAnswers) {
  Answer answer = FailedAnswer(SubmissionId("x"), ResultCode::kTaskFailed,
                               StartState::kStarted);
  answer.outcomes.push_back({});
  const Json failed = Json::parse(FormatAnswer(answer, {}));
  EXPECT_FALSE(failed.contains("tasks"));
  EXPECT_EQ(failed["code"], 300);
  EXPECT_EQ(failed["state"], "started");
  answer.status = AnswerStatus::kComplete;
  EXPECT_TRUE(Json::parse(FormatAnswer(answer, {})).contains("tasks"));
}

}  // namespace
}  // namespace dogwoodfall
