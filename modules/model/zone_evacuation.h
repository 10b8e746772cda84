#ifndef DOGWOODFALL_MODULES_MODEL_ZONE_EVACUATION_H_
#define DOGWOODFALL_MODULES_MODEL_ZONE_EVACUATION_H_

#include <cstdint>

#include "base/ids.h"

namespace dogwoodfall {

/** An operator's request to start nothing on the endpoints of a zone. */
struct ZoneEvacuation {
  ZoneId zone;
  /** Revision of the store that wrote the request. */
  uint64_t revision = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ZONE_EVACUATION_H_
