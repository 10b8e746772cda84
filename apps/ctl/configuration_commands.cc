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

constexpr Millis kTimeout{3'000};

options::options_description BaseOptions() {
  options::options_description description("options");
  description.add_options()("help", "show this text")(
      "format", options::value<std::string>()->default_value("json"),
      "json or table");
  return description;
}

void AddStore(Command& command) {
  command.options.add_options()("store",
                                options::value<std::string>()->required(),
                                "IP:PORT of the store's JSON gateway");
}

StoreReply ReadLists(const HttpAddress& store) {
  return CallStoreOnce(store, StoreRead{kConfigurationKey, false}, kTimeout);
}

/** Parses lists and prints every fault. Returns false when there is one. */
bool CheckLists(const std::string& text, Configuration& lists) {
  ParsedConfiguration parsed = ParseConfiguration(text);
  if (const auto* faults =
          std::get_if<std::vector<ConfigurationError>>(&parsed)) {
    std::cerr << FormatErrors(*faults);
    return false;
  }
  lists = std::move(std::get<Configuration>(parsed));
  return true;
}

int GetLists(const Values& values) {
  const Result<HttpAddress> store =
      ParseAddress(values["store"].as<std::string>());
  if (!store.ok())
    return kExitUsage;
  const StoreReply reply = ReadLists(store.value());
  if (reply.outcome != StoreOutcome::kDone) {
    std::cerr << "the store can't be reached\n";
    return kExitUnreachable;
  }
  if (reply.items.empty()) {
    std::cerr << "no lists have been applied yet\n";
    return kExitNotDone;
  }
  PrintJson(reply.items.front().value, values["format"].as<std::string>());
  return kExitOk;
}

/** Finds out whether a write whose answer was lost took effect. */
int ReadBack(const HttpAddress& store, const std::string& text) {
  const StoreReply reply = ReadLists(store);
  if (reply.outcome == StoreOutcome::kDone && !reply.items.empty() &&
      reply.items.front().value == text) {
    std::cout << "accepted (read back)\n";
    return kExitOk;
  }
  std::cerr << "unknown: the store gave no answer and the change is not seen "
               "in it now; it may still take effect. Run 'config get' until "
               "the store answers, and compare the revision.\n";
  return kExitOutcomeUnknown;
}

int WriteLists(const HttpAddress& store,
               Configuration lists,
               uint64_t mod_revision) {
  ++lists.revision;
  const std::string text = FormatConfiguration(lists);
  StoreTransaction transaction;
  transaction.compares.push_back({kConfigurationKey, mod_revision});
  transaction.puts.push_back({kConfigurationKey, text});
  const StoreReply reply = CallStoreOnce(store, transaction, kTimeout);
  switch (reply.outcome) {
    case StoreOutcome::kDone:
      std::cout << "accepted revision " << lists.revision << "\n";
      return kExitOk;
    case StoreOutcome::kCompareFailed:
      std::cerr << "conflict: somebody else changed the lists meanwhile\n";
      return kExitConflict;
    case StoreOutcome::kUnknown:
      return ReadBack(store, text);
  }
  return kExitOutcomeUnknown;
}

int ApplyLists(const Values& values) {
  const Result<HttpAddress> store =
      ParseAddress(values["store"].as<std::string>());
  const Result<std::string> text =
      ReadWholeFile(values["file"].as<std::string>());
  Configuration lists;
  if (!store.ok())
    return kExitUsage;
  if (!text.ok() || !CheckLists(text.value(), lists))
    return kExitBadInput;
  const StoreReply current = ReadLists(store.value());
  if (current.outcome != StoreOutcome::kDone) {
    std::cerr << "the store can't be reached; nothing was written\n";
    return kExitUnreachable;
  }
  if (current.items.empty()) {
    lists.revision = 0;
    return WriteLists(store.value(), std::move(lists), 0);
  }
  Configuration present;
  if (!CheckLists(current.items.front().value, present))
    return kExitBadInput;
  if (present.revision != lists.revision) {
    std::cerr << "conflict: the file was made from revision " << lists.revision
              << ", the store has " << present.revision << "\n";
    return kExitConflict;
  }
  return WriteLists(store.value(), std::move(lists),
                    current.items.front().mod_revision);
}

}  // namespace

std::vector<Command> ConfigurationCommands() {
  Command get{"config get", "print the two lists in the store", BaseOptions(),
              &GetLists};
  AddStore(get);
  Command check{
      "config check", "check a file with the two lists", BaseOptions(), {}};
  check.options.add_options()("file", options::value<std::string>()->required(),
                              "JSON of the lists, - for standard input");
  check.run = [](const Values& values) {
    const Result<std::string> text =
        ReadWholeFile(values["file"].as<std::string>());
    Configuration lists;
    const bool good = text.ok() && CheckLists(text.value(), lists);
    std::cout << (good ? "good\n" : "refused\n");
    return static_cast<int>(good ? kExitOk : kExitBadInput);
  };
  Command apply{"config apply",
                "write lists that were edited from the revision in the file",
                BaseOptions(), &ApplyLists};
  AddStore(apply);
  apply.options.add_options()("file", options::value<std::string>()->required(),
                              "JSON of the lists, - for standard input");
  return {get, check, apply};
}

}  // namespace dogwoodfall
