#ifndef DOGWOODFALL_MODULES_CORE_FLEET_FLEET_VIEW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_FLEET_VIEW_H_

#include <cstdint>
#include <map>

#include <vector>

#include "base/ids.h"
#include "model/endpoint_group.h"
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
  /** Owners of each zone's groups by their index, derived whenever the members
   * change: it is asked for each endpoint and job. Empty for a zone all of
   * whose daemons are leaving; zones without a daemon are missing.
   */
  std::map<ZoneId, std::vector<DaemonId>> owners;
  /** Number of each zone's groups, derived with the owners. */
  std::map<ZoneId, uint32_t> group_counts;
};

/** Daemons of a zone for which its endpoints form one group. A scheduler that
 * knows all endpoints of a zone packs best; a quarter of a zone's daemons carry
 * its starts on the smallest instances in use.
 */
inline constexpr size_t kMembersPerGroup = 4;

/** Takes over a change of a member.
 * @return false when the view knows of it, or of a later one, already
 */
bool ApplyMember(FleetView& view, const FleetMember& member);

/** Removes a member.
 * @return false when the view knows of it, or of a later change, already
 */
bool RemoveMemberAt(FleetView& view, const DaemonId& id, uint64_t revision);

/** Takes over all members as they stood at a revision.
 * @return false when the view is as new
 */
bool ReplaceMembers(FleetView& view,
                    const std::vector<FleetMember>& members,
                    uint64_t revision);

/** Number of groups that a zone's endpoints form. Daemons that are leaving
 * count, so that a planned stop does not form the groups anew.
 */
uint32_t GroupCount(const FleetView& view, const ZoneId& zone);

/** The group of an endpoint. */
EndpointGroup GroupOfEndpoint(const FleetView& view,
                              const ZoneId& zone,
                              const EndpointId& endpoint);

/** The group that a job of a zone runs in. */
EndpointGroup GroupOfJob(const FleetView& view,
                         const ZoneId& zone,
                         const SubmissionId& job);

/** The daemon that gives orders to a group: of its zone's daemons that are not
 * leaving a large one that is old, or one of another zone when there is none.
 * No daemon has two groups while another one that is as large has none. Null
 * when there is no daemon at all.
 */
const FleetMember* OwnerOfGroup(const FleetView& view,
                                const EndpointGroup& group);

/** True when a process life gives orders to a group. */
bool IsOwnerOf(const FleetView& view,
               const DaemonRef& daemon,
               const EndpointGroup& group);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_FLEET_VIEW_H_
