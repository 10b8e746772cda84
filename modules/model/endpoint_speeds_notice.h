#ifndef DOGWOODFALL_MODULES_MODEL_ENDPOINT_SPEEDS_NOTICE_H_
#define DOGWOODFALL_MODULES_MODEL_ENDPOINT_SPEEDS_NOTICE_H_

#include <vector>

#include "model/endpoint_speed.h"

namespace dogwoodfall {

/** The learned speeds of endpoints that the sender has owned and the receiver
 * owns now, or is about to.
 */
struct EndpointSpeedsNotice {
  std::vector<EndpointSpeed> speeds;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ENDPOINT_SPEEDS_NOTICE_H_
