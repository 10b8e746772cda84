#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_REPLIES_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_REPLIES_H_

#include "core/scheduling/scheduler.h"

namespace dogwoodfall {

/** Takes the answer to an order. */
void HandleEndpointReply(Scheduler& scheduler,
                         const EndpointReply& reply,
                         Millis now,
                         Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_REPLIES_H_
