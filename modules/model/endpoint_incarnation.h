#ifndef DOGWOODFALL_MODULES_MODEL_ENDPOINT_INCARNATION_H_
#define DOGWOODFALL_MODULES_MODEL_ENDPOINT_INCARNATION_H_

#include <cstdint>

#include "base/ids.h"

namespace dogwoodfall {

/** One process of an endpoint; it gets another start time when it restarts. */
struct EndpointIncarnation {
  EndpointId id;
  /** Start of the process in ms since 1970; 0 when not known. */
  int64_t started_at_ms = 0;

  friend bool operator==(const EndpointIncarnation& a,
                         const EndpointIncarnation& b) {
    return a.started_at_ms == b.started_at_ms && a.id == b.id;
  }
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ENDPOINT_INCARNATION_H_
