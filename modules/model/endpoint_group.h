#ifndef DOGWOODFALL_MODULES_MODEL_ENDPOINT_GROUP_H_
#define DOGWOODFALL_MODULES_MODEL_ENDPOINT_GROUP_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/ids.h"

namespace dogwoodfall {

/** Endpoints of a zone that one daemon owns and sends commands to. All tasks of
 * a job run within one group, so a group is transferred together with its jobs.
 */
struct EndpointGroup {
  ZoneId zone;
  uint32_t index = 0;

  friend bool operator==(const EndpointGroup& a, const EndpointGroup& b) {
    return a.index == b.index && a.zone == b.zone;
  }
  friend bool operator!=(const EndpointGroup& a, const EndpointGroup& b) {
    return !(a == b);
  }
  friend bool operator<(const EndpointGroup& a, const EndpointGroup& b) {
    return std::tie(a.zone, a.index) < std::tie(b.zone, b.index);
  }
};

/** Returns the group's name for logs and hashes. */
inline std::string NameOf(const EndpointGroup& group) {
  return group.zone.value + "/" + std::to_string(group.index);
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ENDPOINT_GROUP_H_
