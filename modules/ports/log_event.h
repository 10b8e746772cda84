#ifndef DOGWOODFALL_MODULES_PORTS_LOG_EVENT_H_
#define DOGWOODFALL_MODULES_PORTS_LOG_EVENT_H_

#include <string>
#include <utility>
#include <vector>

namespace dogwoodfall {

/** One event for the log: a name and its fields in order. */
struct LogEvent {
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_LOG_EVENT_H_
