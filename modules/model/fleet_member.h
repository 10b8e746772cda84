#ifndef DOGWOODFALL_MODULES_MODEL_FLEET_MEMBER_H_
#define DOGWOODFALL_MODULES_MODEL_FLEET_MEMBER_H_

#include <cstdint>

#include "model/daemon_member.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** A daemon as it stands in the platform's store. */
struct FleetMember {
  DaemonMember address;
  Incarnation incarnation;
  /** Revision at which its item was created; older members go first. */
  uint64_t created_revision = 0;
  /** Revision of its last change. */
  uint64_t revision = 0;
};

/** The process life that an item names. */
inline DaemonRef RefOf(const FleetMember& member) {
  return {member.address.id, member.incarnation};
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_FLEET_MEMBER_H_
