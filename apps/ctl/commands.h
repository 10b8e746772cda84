#ifndef DOGWOODFALL_APPS_CTL_COMMANDS_H_
#define DOGWOODFALL_APPS_CTL_COMMANDS_H_

#include <boost/program_options.hpp>
#include <functional>
#include <string>
#include <vector>

namespace dogwoodfall {

/** One subcommand of dogwoodfallctl. */
struct Command {
  /** One or two words, such as "config get". */
  std::string name;
  std::string summary;
  boost::program_options::options_description options;
  /** Runs the command with its parsed options and returns the exit code. */
  std::function<int(const boost::program_options::variables_map&)> run;
};

/** Commands that act as a caller: submit, mint, status, cancel. */
std::vector<Command> MakeSubmissionCommands();

/** Commands that query or control one daemon: state, ready, metrics, drain. */
std::vector<Command> MakeDaemonCommands();

/** Commands for the configuration: config get, config check, config apply. */
std::vector<Command> MakeConfigurationCommands();

/** Command for the configuration of the platform's routes: routes check. */
std::vector<Command> MakeRoutesCommands();

/** Prints JSON indented, or as a table of paths and values. Prints text that
 * isn't JSON unchanged.
 *
 * @param format json or table
 */
void PrintJson(const std::string& text, const std::string& format);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_APPS_CTL_COMMANDS_H_
