#ifndef DOGWOODFALL_APPS_CTL_COMMANDS_H_
#define DOGWOODFALL_APPS_CTL_COMMANDS_H_

#include <boost/program_options.hpp>
#include <functional>
#include <string>
#include <vector>

namespace dogwoodfall {

/** One subcommand of dogwoodfallctl. */
struct Command {
  /** Words that name it, such as "config get". */
  std::string name;
  std::string summary;
  boost::program_options::options_description options;
  /** Runs it and returns the exit code. */
  std::function<int(const boost::program_options::variables_map&)> run;
};

/** Commands that callers would use: submit, mint, status, cancel. */
std::vector<Command> SubmissionCommands();

/** Commands for a daemon: state, ready, metrics, drain. */
std::vector<Command> DaemonCommands();

/** Commands for the two lists: config get, config check, config apply. */
std::vector<Command> ConfigurationCommands();

/** Prints JSON text as it is, or as a table of paths and values.
 *
 * @param format json or table
 */
void PrintJson(const std::string& text, const std::string& format);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_APPS_CTL_COMMANDS_H_
