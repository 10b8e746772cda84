#include <iostream>
#include <string>

#include "ctl/blocking_calls.h"
#include "ctl/commands.h"
#include "ctl/exit_code.h"

namespace dogwoodfall {
namespace {

namespace options = boost::program_options;
using Values = options::variables_map;

constexpr Millis kDaemonTimeout{5'000};
constexpr int kStatusOk = 200;

Command MakeDaemonCommand(const std::string& name,
                          const std::string& summary,
                          const std::string& method,
                          const std::string& path) {
  Command command{name, summary, options::options_description("options"), {}};
  command.options.add_options()("help", "show this text")(
      "format", options::value<std::string>()->default_value("json"),
      "json or table")("daemon", options::value<std::string>()->required(),
                       "IP:PORT of the daemon's operator listener")(
      "module", options::value<std::string>()->default_value(""),
      "print only this module of the state");
  command.run = [method, path](const Values& values) {
    const Result<HttpAddress> address =
        ParseAddress(values["daemon"].as<std::string>());
    if (!address.ok()) {
      std::cerr << address.error().detail << "\n";
      return static_cast<int>(kExitUsage);
    }
    const std::string module = values["module"].as<std::string>();
    const HttpResponse answer = CallHttp(
        address.value(), method, module.empty() ? path : path + "/" + module,
        "", kDaemonTimeout);
    if (answer.outcome != HttpOutcome::kAnswered) {
      std::cerr << "the daemon can't be reached\n";
      return static_cast<int>(kExitUnreachable);
    }
    PrintJson(answer.body, values["format"].as<std::string>());
    return static_cast<int>(answer.status == kStatusOk ? kExitOk
                                                       : kExitNotDone);
  };
  return command;
}

}  // namespace

std::vector<Command> MakeDaemonCommands() {
  return {
      MakeDaemonCommand("state", "dump the state of a daemon", "GET", "/state"),
      MakeDaemonCommand("ready", "check whether a daemon accepts requests",
                        "GET", "/ready"),
      MakeDaemonCommand("metrics", "print the metrics of a daemon", "GET",
                        "/metrics"),
      MakeDaemonCommand("drain", "start the graceful shutdown of a daemon",
                        "POST", "/drain")};
}

}  // namespace dogwoodfall
