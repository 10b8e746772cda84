/** @file
 * dogwoodfallctl: the command line tool for operators.
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

std::vector<Command> MakeAllCommands() {
  std::vector<Command> commands = dogwoodfall::MakeSubmissionCommands();
  for (auto* group : {&dogwoodfall::MakeDaemonCommands,
                      &dogwoodfall::MakeConfigurationCommands,
                      &dogwoodfall::MakeRoutesCommands}) {
    for (Command& command : group())
      commands.push_back(std::move(command));
  }
  return commands;
}

void PrintUsage(const std::vector<Command>& commands, std::ostream& out) {
  out << "usage: dogwoodfallctl COMMAND [options]; COMMAND --help shows its "
         "options\n";
  for (const Command& command : commands)
    out << "  " << command.name << "\t" << command.summary << "\n";
}

int RunCommand(const Command& command,
               const std::vector<std::string>& arguments) {
  options::variables_map values;
  try {
    options::store(
        options::command_line_parser(arguments).options(command.options).run(),
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
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const std::vector<Command> commands = MakeAllCommands();
  if (arguments.empty() || arguments[0] == "--help") {
    PrintUsage(commands, arguments.empty() ? std::cerr : std::cout);
    return arguments.empty() ? dogwoodfall::kExitUsage : dogwoodfall::kExitOk;
  }
  for (const Command& command : commands) {
    const size_t name_words =
        command.name.find(' ') == std::string::npos ? 1 : 2;
    std::string name = arguments[0];
    if (name_words == 2 && arguments.size() > 1)
      name += " " + arguments[1];
    if (name == command.name) {
      return RunCommand(command,
                        {arguments.begin() + static_cast<ptrdiff_t>(name_words),
                         arguments.end()});
    }
  }
  PrintUsage(commands, std::cerr);
  return dogwoodfall::kExitUsage;
}
