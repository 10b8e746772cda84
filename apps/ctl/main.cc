/** @file
 * dogwoodfallctl: the operators' tool.
 */

#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "ctl/commands.h"
#include "ctl/exit_code.h"

namespace {

namespace options = boost::program_options;
using dogwoodfall::Command;

std::vector<Command> AllCommands() {
  std::vector<Command> all = dogwoodfall::SubmissionCommands();
  for (auto* group :
       {&dogwoodfall::DaemonCommands, &dogwoodfall::ConfigurationCommands}) {
    for (Command& command : group())
      all.push_back(std::move(command));
  }
  return all;
}

void PrintUsage(const std::vector<Command>& commands, std::ostream& out) {
  out << "usage: dogwoodfallctl COMMAND [options]; COMMAND --help shows its "
         "options\n";
  for (const Command& command : commands)
    out << "  " << command.name << "\t" << command.summary << "\n";
}

int RunCommand(const Command& command, const std::vector<std::string>& words) {
  options::variables_map values;
  try {
    options::store(
        options::command_line_parser(words).options(command.options).run(),
        values);
    if (values.count("help") > 0) {
      std::cout << command.name << ": " << command.summary << "\n"
                << command.options;
      return dogwoodfall::kExitOk;
    }
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << command.options;
    return dogwoodfall::kExitUsage;
  }
  return command.run(values);
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  const std::vector<Command> commands = AllCommands();
  if (words.empty() || words[0] == "--help") {
    PrintUsage(commands, words.empty() ? std::cerr : std::cout);
    return words.empty() ? dogwoodfall::kExitUsage : dogwoodfall::kExitOk;
  }
  for (const Command& command : commands) {
    const size_t count = command.name.find(' ') == std::string::npos ? 1 : 2;
    std::string name = words[0];
    if (count == 2 && words.size() > 1)
      name += " " + words[1];
    if (name == command.name) {
      return RunCommand(command, {words.begin() + static_cast<ptrdiff_t>(count),
                                  words.end()});
    }
  }
  PrintUsage(commands, std::cerr);
  return dogwoodfall::kExitUsage;
}
