#ifndef DOGWOODFALL_MODULES_PORTS_LOG_EVENT_H_
#define DOGWOODFALL_MODULES_PORTS_LOG_EVENT_H_

#include <string>
#include <utility>
#include <vector>

namespace dogwoodfall {

/** A log event: a name, and fields in the order of output. */
struct LogEvent {
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_LOG_EVENT_H_
