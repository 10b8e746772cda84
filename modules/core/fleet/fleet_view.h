#ifndef DOGWOODFALL_MODULES_CORE_FLEET_FLEET_VIEW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <set>

#include <vector>

#include "base/ids.h"
#include "model/endpoint_group.h"
#include "model/fleet_member.h"

namespace dogwoodfall {

/** The daemons that the platform's store lists at one revision.
 *
 * Every daemon derives the same schedulers and owners from the same revision,
 * so the revision orders owners in time and serves as their fencing token.
 */
struct FleetView {
  /** Revision of the latest change of any member. */
  uint64_t revision = 0;
  std::map<DaemonId, FleetMember> members;
  /** Owners of each zone's groups by index. Computed whenever the members
   * change, because it is read for each endpoint and job. Empty for a zone
   * whose daemons are all leaving; zones without a daemon have no entry.
   */
  std::map<ZoneId, std::vector<DaemonId>> owners;
  /** Number of each zone's groups, computed with the owners. */
  std::map<ZoneId, uint32_t> group_counts;
  /** All daemons that own groups, computed with the owners. */
  std::set<DaemonId> all_owners;
  /** The owners, and the daemons that replace them next. */
  std::set<DaemonId> owner_candidates;
};

/** Number of daemons of a zone that stand by to replace an owner. */
inline constexpr size_t kStandbyOwnersPerZone = 2;

/** Number of daemons up to which each sends heartbeats to all others. */
inline constexpr size_t kMaxSmallFleetSize = 12;

/** Returns true when the fleet has at most kMaxSmallFleetSize daemons. */
bool IsSmallFleet(const FleetView& view);

/** Returns true when a daemon owns a group, or is next to own one. */
bool IsOwnerCandidate(const FleetView& view, const DaemonId& daemon);

/** Returns true when a daemon owns a group of any zone. */
bool IsOwner(const FleetView& view, const DaemonId& daemon);

/** Number of a zone's daemons for each group of its endpoints. Fewer, larger
 * groups let a scheduler pack tasks better; one scheduler for four daemons is
 * enough for a zone's starts on the smallest instances in use.
 */
inline constexpr size_t kMembersPerGroup = 4;

/** Applies a change of a member.
 * @return false when the view already has this change or a later one
 */
bool ApplyMember(FleetView& view, const FleetMember& member);

/** Removes a member.
 * @return false when the view already has this change or a later one
 */
bool RemoveMemberAt(FleetView& view, const DaemonId& id, uint64_t revision);

/** Replaces all members by those of a revision.
 * @return false when the view has this revision or a later one
 */
bool ReplaceMembers(FleetView& view,
                    const std::vector<FleetMember>& members,
                    uint64_t revision);

/** Returns the number of groups that a zone's endpoints form. Daemons that are
 * leaving count, so that a graceful shutdown does not regroup the endpoints.
 */
uint32_t GroupCount(const FleetView& view, const ZoneId& zone);

/** Returns the group of an endpoint. */
EndpointGroup GroupOfEndpoint(const FleetView& view,
                              const ZoneId& zone,
                              const EndpointId& endpoint);

/** Returns the group that a job of a zone runs in. */
EndpointGroup GroupOfJob(const FleetView& view,
                         const ZoneId& zone,
                         const SubmissionId& job);

/** Returns the group that a job belongs to which was assigned to a group
 * before: the same one, or another one of the zone when that no longer exists.
 */
EndpointGroup CurrentGroupOfJob(const FleetView& view,
                                const EndpointGroup& group,
                                const SubmissionId& job);

/** Returns the daemon that owns a group and sends commands to its endpoints.
 *
 * Of the zone's daemons that are not leaving, large instances and then older
 * members are preferred; when there are none, a daemon of another zone is
 * chosen. No daemon owns two groups while another one that is as large owns
 * none. Null when there is no daemon at all.
 */
const FleetMember* OwnerOfGroup(const FleetView& view,
                                const EndpointGroup& group);

/** Returns true when this incarnation of a daemon owns a group. */
bool IsOwnerOf(const FleetView& view,
               const DaemonRef& daemon,
               const EndpointGroup& group);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_FLEET_VIEW_H_
