#include "core/fleet/fleet_view.h"

#include <algorithm>
#include <set>

#include "core/routing/rendezvous.h"

namespace dogwoodfall {
namespace {

/** Instances below this share of the largest one's weight schedule only when
 * there is nobody else.
 */
constexpr double kLargeShare = 0.5;

std::vector<const FleetMember*> AllSchedulers(const FleetView& view) {
  std::set<ZoneId> zones;
  for (const auto& [id, member] : view.members)
    zones.insert(member.address.zone);
  std::vector<const FleetMember*> all;
  for (const ZoneId& zone : zones) {
    const auto schedulers = SchedulersOfZone(view, zone);
    all.insert(all.end(), schedulers.begin(), schedulers.end());
  }
  return all;
}

const FleetMember* ChooseAmong(const FleetView& view,
                               const std::vector<const FleetMember*>& members,
                               const std::string& key) {
  if (members.empty())
    return nullptr;
  std::vector<Candidate> candidates;
  for (const FleetMember* member : members)
    candidates.push_back({member->address.id, member->address.weight});
  return &view.members.at(ChooseByRendezvous(candidates, key).id);
}

const FleetMember* ChooseForZone(const FleetView& view,
                                 const ZoneId& zone,
                                 const std::string& key) {
  const auto schedulers = SchedulersOfZone(view, zone);
  return ChooseAmong(
      view, schedulers.empty() ? AllSchedulers(view) : schedulers, key);
}

}  // namespace

bool ApplyMember(FleetView& view, const FleetMember& member) {
  const auto known = view.members.find(member.address.id);
  if (known != view.members.end() && known->second.revision >= member.revision)
    return false;
  view.members[member.address.id] = member;
  view.revision = std::max(view.revision, member.revision);
  return true;
}

bool RemoveMemberAt(FleetView& view, const DaemonId& id, uint64_t revision) {
  const auto known = view.members.find(id);
  if (known == view.members.end() || known->second.revision > revision)
    return false;
  view.members.erase(known);
  view.revision = std::max(view.revision, revision);
  return true;
}

std::vector<const FleetMember*> SchedulersOfZone(const FleetView& view,
                                                 const ZoneId& zone) {
  std::vector<const FleetMember*> members;
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
  const size_t wanted =
      (members.size() + kMembersPerScheduler - 1) / kMembersPerScheduler;
  members.resize(wanted);
  return members;
}

const FleetMember* OwnerOfEndpoint(const FleetView& view,
                                   const ZoneId& zone,
                                   const EndpointId& endpoint) {
  return ChooseForZone(view, zone, endpoint.value);
}

const FleetMember* SchedulerForJob(const FleetView& view,
                                   const ZoneId& zone,
                                   const SubmissionId& job) {
  return ChooseForZone(view, zone, job.value);
}

}  // namespace dogwoodfall
