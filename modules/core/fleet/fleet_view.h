#ifndef DOGWOODFALL_MODULES_CORE_FLEET_FLEET_VIEW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "model/fleet_member.h"

namespace dogwoodfall {

/** The daemons as the platform's store listed them at one revision.
 *
 * Every daemon derives the same schedulers and owners from the same revision,
 * so the revision orders owners in time and serves as their fencing token.
 */
struct FleetView {
  /** Revision of the latest change of any member. */
  uint64_t revision = 0;
  std::map<DaemonId, FleetMember> members;
};

/** Daemons of a zone for which one of them schedules. A scheduler that knows
 * all endpoints of a zone packs best; a quarter of a zone's daemons carry its
 * starts on the smallest instances in use.
 */
inline constexpr size_t kMembersPerScheduler = 4;

/** Takes over a member. @return false when it is older than what is known */
bool ApplyMember(FleetView& view, const FleetMember& member);

/** Removes a member. @return false when it is not known or came later */
bool RemoveMemberAt(FleetView& view, const DaemonId& id, uint64_t revision);

/** The daemons that give orders to a zone's endpoints: of those that are not
 * leaving the large ones first, then the oldest. Empty when the zone has none.
 */
std::vector<const FleetMember*> SchedulersOfZone(const FleetView& view,
                                                 const ZoneId& zone);

/** The daemon that gives orders to an endpoint: one of its zone, or of any
 * zone when its own has none. Null when there is no daemon at all.
 */
const FleetMember* OwnerOfEndpoint(const FleetView& view,
                                   const ZoneId& zone,
                                   const EndpointId& endpoint);

/** The scheduler for a job that came in at a zone. Null when there is none. */
const FleetMember* SchedulerForJob(const FleetView& view,
                                   const ZoneId& zone,
                                   const SubmissionId& job);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_FLEET_VIEW_H_
