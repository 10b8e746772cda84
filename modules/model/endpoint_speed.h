#ifndef DOGWOODFALL_MODULES_MODEL_ENDPOINT_SPEED_H_
#define DOGWOODFALL_MODULES_MODEL_ENDPOINT_SPEED_H_

#include <cstdint>

#include "model/endpoint_incarnation.h"

namespace dogwoodfall {

/** Learned speed of an incarnation of an endpoint. */
struct EndpointSpeed {
  EndpointIncarnation endpoint;
  /** Run times on the endpoint relative to the nominal ones. */
  double slowness = 1;
  /** Number of runs that it was learned from. */
  uint32_t observed_runs = 0;
  /** True when it has started from the speed of the endpoint's kind. */
  bool starts_from_kind = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ENDPOINT_SPEED_H_
