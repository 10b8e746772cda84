#include "core/fleet/fleet_view.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/hash.h"
#include "core/routing/rendezvous.h"

namespace dogwoodfall {
namespace {

/** Instances whose weight is below this share of the largest weight own groups
 * only when there are too few others.
 */
constexpr double kMinSchedulerWeightShare = 0.5;

using Members = std::vector<const FleetMember*>;

const FleetMember& ChooseMember(const Members& members,
                                const std::string& key) {
  std::vector<Candidate> candidates;
  for (const FleetMember* member : members)
    candidates.push_back({member->address.id, member->address.weight});
  const DaemonId& chosen = ChooseByRendezvous(candidates, key).id;
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&chosen](const FleetMember* member) {
                                    return member->address.id == chosen;
                                  });
  return **found;
}

/** Returns the members of a zone that may schedule, preferred ones first. */
Members RankMembers(const FleetView& view, const ZoneId& zone) {
  Members members;
  uint32_t max_weight = 0;
  for (const auto& [id, member] : view.members) {
    if (member.address.zone != zone || member.address.leaving)
      continue;
    members.push_back(&member);
    max_weight = std::max(max_weight, member.address.weight);
  }
  const auto is_small = [max_weight](const FleetMember* member) {
    return member->address.weight < kMinSchedulerWeightShare * max_weight;
  };
  std::sort(members.begin(), members.end(),
            [&](const FleetMember* a, const FleetMember* b) {
              if (is_small(a) != is_small(b))
                return is_small(b);
              return a->created_revision < b->created_revision;
            });
  return members;
}

/** Maps a hash to one of a number of buckets. When a bucket is added, only keys
 * that move to it change (jump consistent hash, Lamping and Veach, 2014).
 */
uint32_t ChooseBucket(uint64_t hash, uint32_t buckets) {
  constexpr uint64_t kMultiplier = 2862933555777941757ULL;
  constexpr double kTwoToThe31 = 2147483648.0;
  constexpr int kUnusedBits = 33;
  int64_t bucket = 0;
  int64_t next = 0;
  while (next < static_cast<int64_t>(buckets)) {
    bucket = next;
    hash = hash * kMultiplier + 1;
    next = static_cast<int64_t>(
        static_cast<double>(bucket + 1) *
        (kTwoToThe31 / static_cast<double>((hash >> kUnusedBits) + 1)));
  }
  return static_cast<uint32_t>(bucket);
}

/** Assigns the free groups to members, each to one: repeatedly the pair with
 * the highest score. When a member or a group is added or removed, only a short
 * chain of pairs changes.
 */
void AssignFreeGroups(const Members& members,
                      const ZoneId& zone,
                      std::vector<DaemonId>& owners) {
  std::vector<std::tuple<uint64_t, size_t, DaemonId>> pairs;
  for (uint32_t index = 0; index < owners.size(); ++index) {
    if (!owners[index].value.empty())
      continue;
    for (const FleetMember* member : members) {
      const uint64_t score = StableHash(member->address.id.value + "\n" +
                                        NameOf(EndpointGroup{zone, index}));
      pairs.emplace_back(score, index, member->address.id);
    }
  }
  std::sort(pairs.rbegin(), pairs.rend());
  std::set<DaemonId> assigned;
  for (const auto& [score, index, id] : pairs) {
    if (owners[index].value.empty() && assigned.insert(id).second)
      owners[index] = id;
  }
}

/** Chooses the owners of a zone's groups, by index; empty when all of its
 * daemons are leaving.
 */
std::vector<DaemonId> ChooseOwnersInZone(Members ranked,
                                         const ZoneId& zone,
                                         size_t group_count) {
  if (ranked.empty())
    return {};
  ranked.resize(std::min(ranked.size(), group_count));
  std::vector<DaemonId> owners(group_count);
  for (size_t assigned = 0; assigned < group_count; assigned += ranked.size())
    AssignFreeGroups(ranked, zone, owners);
  return owners;
}

/** Computes the groups and their owners from the members. */
void DeriveOwners(FleetView& view) {
  std::map<ZoneId, size_t> members;
  for (const auto& [id, member] : view.members)
    ++members[member.address.zone];
  view.owners.clear();
  view.all_owners.clear();
  view.owner_candidates.clear();
  view.group_counts.clear();
  for (const auto& [zone, count] : members) {
    const size_t groups = (count + kMembersPerGroup - 1) / kMembersPerGroup;
    view.group_counts[zone] = static_cast<uint32_t>(groups);
    const Members ranked = RankMembers(view, zone);
    view.owners[zone] = ChooseOwnersInZone(ranked, zone, groups);
    for (size_t i = 0;
         i < std::min(ranked.size(), groups + kStandbyOwnersPerZone); ++i)
      view.owner_candidates.insert(ranked[i]->address.id);
    view.all_owners.insert(view.owners[zone].begin(), view.owners[zone].end());
  }
}

}  // namespace

bool IsSmallFleet(const FleetView& view) {
  return view.members.size() <= kMaxSmallFleetSize;
}

bool IsOwnerCandidate(const FleetView& view, const DaemonId& daemon) {
  return view.owner_candidates.count(daemon) > 0;
}

bool IsOwner(const FleetView& view, const DaemonId& daemon) {
  return view.all_owners.count(daemon) > 0;
}

bool ApplyMember(FleetView& view, const FleetMember& member) {
  if (member.revision <= view.revision)
    return false;
  view.members[member.address.id] = member;
  view.revision = member.revision;
  DeriveOwners(view);
  return true;
}

bool RemoveMemberAt(FleetView& view, const DaemonId& id, uint64_t revision) {
  if (revision <= view.revision)
    return false;
  view.members.erase(id);
  view.revision = revision;
  DeriveOwners(view);
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
  DeriveOwners(view);
  return true;
}

uint32_t GroupCount(const FleetView& view, const ZoneId& zone) {
  const auto found = view.group_counts.find(zone);
  return found == view.group_counts.end() ? 1 : found->second;
}

EndpointGroup GroupOfEndpoint(const FleetView& view,
                              const ZoneId& zone,
                              const EndpointId& endpoint) {
  return {zone,
          ChooseBucket(StableHash(endpoint.value), GroupCount(view, zone))};
}

EndpointGroup GroupOfJob(const FleetView& view,
                         const ZoneId& zone,
                         const SubmissionId& job) {
  return {zone, ChooseBucket(StableHash(job.value), GroupCount(view, zone))};
}

EndpointGroup CurrentGroupOfJob(const FleetView& view,
                                const EndpointGroup& group,
                                const SubmissionId& job) {
  return group.index < GroupCount(view, group.zone)
             ? group
             : GroupOfJob(view, group.zone, job);
}

const FleetMember* OwnerOfGroup(const FleetView& view,
                                const EndpointGroup& group) {
  const auto own = view.owners.find(group.zone);
  if (own != view.owners.end() && !own->second.empty())
    return &view.members.at(own->second[group.index % own->second.size()]);
  Members others;
  for (const auto& [zone, owners] : view.owners) {
    for (const DaemonId& owner : owners)
      others.push_back(&view.members.at(owner));
  }
  return others.empty() ? nullptr : &ChooseMember(others, NameOf(group));
}

bool IsOwnerOf(const FleetView& view,
               const DaemonRef& daemon,
               const EndpointGroup& group) {
  const FleetMember* owner = OwnerOfGroup(view, group);
  return owner != nullptr && RefOf(*owner) == daemon;
}

}  // namespace dogwoodfall
