#ifndef DOGWOODFALL_MODULES_MODEL_ENDPOINT_ENTRY_H_
#define DOGWOODFALL_MODULES_MODEL_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "model/task_resources.h"

namespace dogwoodfall {

/** Entry that an endpoint writes for itself to the platform's store. */
struct EndpointEntry {
  EndpointId id;
  /** Pool that it belongs to. */
  std::string service;
  std::string ip;
  uint16_t port = 0;
  ZoneId zone;
  /** Kind of its instance; instances of one kind have about the same speed. */
  std::string kind;
  RackId rack;
  /** All labels that a step may require. */
  std::vector<std::string> labels;
  TaskResources capacity;
  /** True when it accepts no new work. */
  bool draining = false;
  /** Start of its present incarnation, in ms since 1970; 0 if not reported. */
  int64_t started_at_ms = 0;
  /** Revision of the store that wrote it; 0 when a daemon has sent it. */
  uint64_t revision = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ENDPOINT_ENTRY_H_
