#ifndef DOGWOODFALL_MODULES_MODEL_ENDPOINT_ENTRY_H_
#define DOGWOODFALL_MODULES_MODEL_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "model/task_room.h"

namespace dogwoodfall {

/** What an endpoint says of itself in the platform's store. */
struct EndpointEntry {
  EndpointId id;
  /** Pool that it belongs to. */
  std::string service;
  std::string ip;
  uint16_t port = 0;
  ZoneId zone;
  /** Kind of its instance; instances of a kind are about as fast. */
  std::string kind;
  RackId rack;
  /** All labels that a step may require. */
  std::vector<std::string> labels;
  TaskResources capacity;
  /** True when it takes no new work. */
  bool draining = false;
  /** Start of its present life, in ms since 1970; 0 when it isn't told. */
  int64_t started_at_ms = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ENDPOINT_ENTRY_H_
