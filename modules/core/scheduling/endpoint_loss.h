#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_LOSS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_LOSS_H_

#include "base/ids.h"
#include "base/millis.h"
#include "model/endpoint_incarnation.h"

namespace dogwoodfall {

/** The loss of an endpoint with the tasks that it ran. */
struct EndpointLoss {
  EndpointIncarnation endpoint;
  RackId rack;
  Millis lost_at;
  /** True when it ran a task of a job that was suspected before. */
  bool has_suspect = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_LOSS_H_
