#ifndef DOGWOODFALL_MODULES_MODEL_ENDPOINT_MEMBER_H_
#define DOGWOODFALL_MODULES_MODEL_ENDPOINT_MEMBER_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace dogwoodfall {

/** An endpoint as listed by the platform. */
struct EndpointMember {
  EndpointId id;
  ZoneId zone;
  RackId rack;
  std::string ip;
  uint16_t port = 0;
  /** Maximum number of tasks that it runs at the same time. */
  uint32_t slots = 8;
  int64_t memory_mb = 0;
  /** True when it is about to be removed and gets no more work. */
  bool leaving = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ENDPOINT_MEMBER_H_
