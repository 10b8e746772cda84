#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "ctl/blocking_calls.h"
#include "ctl/commands.h"
#include "ctl/exit_code.h"

namespace dogwoodfall {
namespace {

namespace options = boost::program_options;
using Values = options::variables_map;

/** Includes the run time: a submission is answered when it has ended. */
constexpr Millis kAnswerTimeout{700'000};

std::string GetText(const Values& values, const char* key) {
  return values.count(key) > 0 ? values[key].as<std::string>() : std::string();
}

options::options_description MakeBaseOptions() {
  options::options_description description("options");
  description.add_options()("help", "show this text")(
      "format", options::value<std::string>()->default_value("json"),
      "json or table")("callers", options::value<std::string>()->required(),
                       "IP:PORT of a daemon's caller listener");
  return description;
}

/** Maps the status in an answer to an exit code. */
int GetExitCode(const HttpResponse& answer) {
  const nlohmann::json json =
      nlohmann::json::parse(answer.body, nullptr, false);
  if (!json.is_object())
    return kExitNotDone;
  const std::string status = json.value("status", "complete");
  if (status == "pending")
    return kExitPending;
  return status == "complete" ? kExitOk : kExitNotDone;
}

int CallDaemon(const Values& values,
               const std::string& method,
               const std::string& path,
               const std::string& body) {
  const Result<HttpAddress> address = ParseAddress(GetText(values, "callers"));
  if (!address.ok()) {
    std::cerr << address.error().detail << "\n";
    return kExitUsage;
  }
  const HttpResponse answer =
      CallHttp(address.value(), method, path, body, kAnswerTimeout);
  if (answer.outcome != HttpOutcome::kAnswered) {
    std::cerr << (answer.outcome == HttpOutcome::kNotSent
                      ? "not sent: the daemon can't be reached\n"
                      : "no answer: the submission may have started; "
                        "resubmit it with the same id\n");
    return answer.outcome == HttpOutcome::kNotSent ? kExitUnreachable
                                                   : kExitOutcomeUnknown;
  }
  PrintJson(answer.body, GetText(values, "format"));
  return GetExitCode(answer);
}

Command MakeSubmitCommand() {
  Command command{"submit",
                  "submit a job or a request and wait for its answer",
                  MakeBaseOptions(),
                  {}};
  command.options.add_options()("file",
                                options::value<std::string>()->required(),
                                "submission in JSON, - for standard input")(
      "single", options::bool_switch(),
      "submit a single request instead of a job");
  command.run = [](const Values& values) {
    const Result<std::string> body = ReadWholeFile(GetText(values, "file"));
    if (!body.ok()) {
      std::cerr << body.error().detail << "\n";
      return static_cast<int>(kExitBadInput);
    }
    const bool is_single = values["single"].as<bool>();
    return CallDaemon(values, "POST", is_single ? "/v1/requests" : "/v1/jobs",
                      body.value());
  };
  return command;
}

Command MakeMintCommand() {
  Command command{"mint", "get an id for a submission", MakeBaseOptions(), {}};
  command.run = [](const Values& values) {
    return CallDaemon(values, "POST", "/v1/ids", "");
  };
  return command;
}

void AddIdOptions(Command& command) {
  command.options.add_options()("id", options::value<std::string>()->required(),
                                "id of the submission")(
      "customer", options::value<std::string>()->required(),
      "customer that submitted it");
}

Command MakeStatusCommand() {
  Command command{
      "status", "get the state of a submission", MakeBaseOptions(), {}};
  AddIdOptions(command);
  command.options.add_options()(
      "wait-ms", options::value<int>()->default_value(0),
      "maximum time to wait for the submission to end, in ms");
  command.run = [](const Values& values) {
    return CallDaemon(
        values, "GET",
        "/v1/submissions/" + GetText(values, "id") +
            "?customer=" + GetText(values, "customer") +
            "&wait_ms=" + std::to_string(values["wait-ms"].as<int>()),
        "");
  };
  return command;
}

Command MakeCancelCommand() {
  Command command{"cancel", "cancel a submission", MakeBaseOptions(), {}};
  AddIdOptions(command);
  command.run = [](const Values& values) {
    return CallDaemon(
        values, "POST", "/v1/submissions/" + GetText(values, "id") + "/cancel",
        nlohmann::json{{"customer", GetText(values, "customer")}}.dump());
  };
  return command;
}

}  // namespace

std::vector<Command> MakeSubmissionCommands() {
  return {MakeSubmitCommand(), MakeMintCommand(), MakeStatusCommand(),
          MakeCancelCommand()};
}

}  // namespace dogwoodfall
