#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_RECEIVED_SPEED_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_RECEIVED_SPEED_H_

#include "base/millis.h"
#include "model/endpoint_speed.h"

namespace dogwoodfall {

/** The speed of an endpoint that its previous owner has sent. */
struct ReceivedSpeed {
  EndpointSpeed speed;
  Millis received_at;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_RECEIVED_SPEED_H_
