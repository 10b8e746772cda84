#ifndef DOGWOODFALL_MODULES_MODEL_FLEET_MEMBER_H_
#define DOGWOODFALL_MODULES_MODEL_FLEET_MEMBER_H_

#include <cstdint>

#include "model/daemon_member.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** A daemon's item in the platform's store. */
struct FleetMember {
  DaemonMember address;
  Incarnation incarnation;
  /** Store revision at which the item was created; members are ordered by it,
   * oldest first.
   */
  uint64_t created_revision = 0;
  /** Store revision of the item's last change. */
  uint64_t revision = 0;
};

/** Returns the incarnation that the item names. */
inline DaemonRef RefOf(const FleetMember& member) {
  return {member.address.id, member.incarnation};
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_FLEET_MEMBER_H_
