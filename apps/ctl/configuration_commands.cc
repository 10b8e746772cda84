#include <iostream>
#include <string>
#include <variant>

#include "config/configuration_text.h"
#include "ctl/blocking_calls.h"
#include "ctl/commands.h"
#include "ctl/exit_code.h"

namespace dogwoodfall {
namespace {

namespace options = boost::program_options;
using Values = options::variables_map;

constexpr Millis kStoreTimeout{3'000};

options::options_description MakeBaseOptions() {
  options::options_description description("options");
  description.add_options()("help", "show this text")(
      "format", options::value<std::string>()->default_value("json"),
      "json or table");
  return description;
}

void AddStoreOption(Command& command) {
  command.options.add_options()("store",
                                options::value<std::string>()->required(),
                                "IP:PORT of the store's JSON gateway");
}

StoreReply ReadStoredConfiguration(const HttpAddress& store) {
  return CallStoreOnce(store, StoreRead{kConfigurationKey, false},
                       kStoreTimeout);
}

/** Parses a configuration. Prints all errors and returns false when there are
 * any.
 */
bool ParseOrPrintErrors(const std::string& text, Configuration& configuration) {
  ParsedConfiguration parsed = ParseConfiguration(text);
  if (const auto* errors =
          std::get_if<std::vector<ConfigurationError>>(&parsed)) {
    std::cerr << FormatErrors(*errors);
    return false;
  }
  configuration = std::move(std::get<Configuration>(parsed));
  return true;
}

int RunConfigGet(const Values& values) {
  const Result<HttpAddress> store =
      ParseAddress(values["store"].as<std::string>());
  if (!store.ok()) {
    std::cerr << "--store: expected IP:PORT\n";
    return kExitUsage;
  }
  const StoreReply reply = ReadStoredConfiguration(store.value());
  if (reply.outcome != StoreOutcome::kDone) {
    std::cerr << "the store can't be reached\n";
    return kExitUnreachable;
  }
  if (reply.items.empty()) {
    std::cerr << "no configuration has been applied yet\n";
    return kExitNotDone;
  }
  PrintJson(reply.items.front().value, values["format"].as<std::string>());
  return kExitOk;
}

/** Reads the configuration back after a write that was not answered, and
 * reports whether the write took effect.
 */
int VerifyWrite(const HttpAddress& store, const std::string& text) {
  const StoreReply reply = ReadStoredConfiguration(store);
  if (reply.outcome == StoreOutcome::kDone && !reply.items.empty() &&
      reply.items.front().value == text) {
    std::cout << "accepted (read back)\n";
    return kExitOk;
  }
  std::cerr << "unknown: the store did not answer the write and does not show "
               "the change; it may still take effect. Run 'config get' until "
               "the store answers, and compare the revision.\n";
  return kExitOutcomeUnknown;
}

int WriteConfiguration(const HttpAddress& store,
                       Configuration configuration,
                       uint64_t mod_revision) {
  ++configuration.revision;
  const std::string text = FormatConfiguration(configuration);
  StoreTransaction transaction;
  transaction.compares.push_back({kConfigurationKey, mod_revision});
  transaction.puts.push_back({kConfigurationKey, text});
  const StoreReply reply = CallStoreOnce(store, transaction, kStoreTimeout);
  switch (reply.outcome) {
    case StoreOutcome::kDone:
      std::cout << "accepted revision " << configuration.revision << "\n";
      return kExitOk;
    case StoreOutcome::kCompareFailed:
      std::cerr
          << "conflict: the configuration was changed by another writer\n";
      return kExitConflict;
    case StoreOutcome::kUnknown:
      return VerifyWrite(store, text);
  }
  return kExitOutcomeUnknown;
}

int RunConfigApply(const Values& values) {
  const Result<HttpAddress> store =
      ParseAddress(values["store"].as<std::string>());
  const Result<std::string> text =
      ReadWholeFile(values["file"].as<std::string>());
  Configuration configuration;
  if (!store.ok()) {
    std::cerr << "--store: expected IP:PORT\n";
    return kExitUsage;
  }
  if (!text.ok() || !ParseOrPrintErrors(text.value(), configuration))
    return kExitBadInput;
  const StoreReply current = ReadStoredConfiguration(store.value());
  if (current.outcome != StoreOutcome::kDone) {
    std::cerr << "the store can't be reached; nothing was written\n";
    return kExitUnreachable;
  }
  if (current.items.empty()) {
    configuration.revision = 0;
    return WriteConfiguration(store.value(), std::move(configuration), 0);
  }
  Configuration stored;
  if (!ParseOrPrintErrors(current.items.front().value, stored))
    return kExitBadInput;
  if (stored.revision != configuration.revision) {
    std::cerr << "conflict: the file was edited from revision "
              << configuration.revision << ", the store has " << stored.revision
              << "\n";
    return kExitConflict;
  }
  return WriteConfiguration(store.value(), std::move(configuration),
                            current.items.front().mod_revision);
}

}  // namespace

std::vector<Command> MakeConfigurationCommands() {
  Command get{"config get", "print the configuration in the store",
              MakeBaseOptions(), &RunConfigGet};
  AddStoreOption(get);
  Command check{
      "config check", "check a configuration file", MakeBaseOptions(), {}};
  check.options.add_options()("file", options::value<std::string>()->required(),
                              "configuration in JSON, - for standard input");
  check.run = [](const Values& values) {
    const Result<std::string> text =
        ReadWholeFile(values["file"].as<std::string>());
    Configuration configuration;
    const bool is_valid =
        text.ok() && ParseOrPrintErrors(text.value(), configuration);
    std::cout << (is_valid ? "good\n" : "refused\n");
    return static_cast<int>(is_valid ? kExitOk : kExitBadInput);
  };
  Command apply{"config apply",
                "write a configuration that was edited from the revision in "
                "the file",
                MakeBaseOptions(), &RunConfigApply};
  AddStoreOption(apply);
  apply.options.add_options()("file", options::value<std::string>()->required(),
                              "configuration in JSON, - for standard input");
  return {get, check, apply};
}

}  // namespace dogwoodfall
