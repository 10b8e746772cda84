#include "core/fleet/fleet_view.h"

#include <algorithm>
#include <string>
#include <vector>

#include "base/hash.h"
#include "core/routing/rendezvous.h"

namespace dogwoodfall {
namespace {

/** Instances below this share of the largest one's weight schedule only when
 * there is nobody else.
 */
constexpr double kLargeShare = 0.5;

using Members = std::vector<const FleetMember*>;

const FleetMember* ChooseAmong(const FleetView& view,
                               const Members& members,
                               const std::string& key) {
  if (members.empty())
    return nullptr;
  std::vector<Candidate> candidates;
  for (const FleetMember* member : members)
    candidates.push_back({member->address.id, member->address.weight});
  return &view.members.at(ChooseByRendezvous(candidates, key).id);
}

/** Members of a zone that may schedule, the preferred ones first. */
Members RankedMembers(const FleetView& view, const ZoneId& zone) {
  Members members;
  uint32_t largest = 0;
  for (const auto& [id, member] : view.members) {
    if (member.address.zone != zone || member.address.leaving)
      continue;
    members.push_back(&member);
    largest = std::max(largest, member.address.weight);
  }
  const auto is_small = [largest](const FleetMember* member) {
    return member->address.weight < kLargeShare * largest;
  };
  std::sort(members.begin(), members.end(),
            [&](const FleetMember* a, const FleetMember* b) {
              if (is_small(a) != is_small(b))
                return is_small(b);
              return a->created_revision < b->created_revision;
            });
  return members;
}

/** Owners of a zone's groups by their index; empty when it has no daemon. */
Members OwnersInZone(const FleetView& view, const ZoneId& zone) {
  Members ranked = RankedMembers(view, zone);
  if (ranked.empty())
    return {};
  const size_t groups = GroupCount(view, zone);
  Members owners(groups, nullptr);
  ranked.resize(std::min(ranked.size(), groups));
  Members free = ranked;
  for (uint32_t index = 0; index < groups; ++index) {
    if (free.empty())
      free = ranked;
    owners[index] = ChooseAmong(view, free, NameOf(EndpointGroup{zone, index}));
    free.erase(std::find(free.begin(), free.end(), owners[index]));
  }
  return owners;
}

}  // namespace

bool ApplyMember(FleetView& view, const FleetMember& member) {
  if (member.revision <= view.revision)
    return false;
  view.members[member.address.id] = member;
  view.revision = member.revision;
  return true;
}

bool RemoveMemberAt(FleetView& view, const DaemonId& id, uint64_t revision) {
  if (revision <= view.revision)
    return false;
  view.members.erase(id);
  view.revision = revision;
  return true;
}

bool ReplaceMembers(FleetView& view,
                    const std::vector<FleetMember>& members,
                    uint64_t revision) {
  if (revision <= view.revision)
    return false;
  view.members.clear();
  view.revision = revision;
  for (const FleetMember& member : members)
    view.members[member.address.id] = member;
  return true;
}

std::set<ZoneId> ZonesOf(const FleetView& view) {
  std::set<ZoneId> zones;
  for (const auto& [id, member] : view.members)
    zones.insert(member.address.zone);
  return zones;
}

uint32_t GroupCount(const FleetView& view, const ZoneId& zone) {
  const auto members = static_cast<size_t>(std::count_if(
      view.members.begin(), view.members.end(), [&zone](const auto& entry) {
        return entry.second.address.zone == zone;
      }));
  const size_t groups = (members + kMembersPerGroup - 1) / kMembersPerGroup;
  return static_cast<uint32_t>(std::max<size_t>(groups, 1));
}

EndpointGroup GroupOfEndpoint(const FleetView& view,
                              const ZoneId& zone,
                              const EndpointId& endpoint) {
  const uint64_t hash = StableHash(endpoint.value);
  return {zone, static_cast<uint32_t>(hash % GroupCount(view, zone))};
}

EndpointGroup GroupOfJob(const FleetView& view,
                         const ZoneId& zone,
                         const SubmissionId& job) {
  const uint64_t hash = StableHash(job.value);
  return {zone, static_cast<uint32_t>(hash % GroupCount(view, zone))};
}

const FleetMember* OwnerOfGroup(const FleetView& view,
                                const EndpointGroup& group) {
  const Members owners = OwnersInZone(view, group.zone);
  if (!owners.empty())
    return owners[group.index % owners.size()];
  Members others;
  for (const ZoneId& zone : ZonesOf(view)) {
    for (const FleetMember* owner : OwnersInZone(view, zone))
      others.push_back(owner);
  }
  return ChooseAmong(view, others, NameOf(group));
}

}  // namespace dogwoodfall
