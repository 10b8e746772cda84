#include "core/routing/ownership.h"

namespace dogwoodfall {
namespace {

std::vector<Candidate> ZoneDaemons(const Membership& membership,
                                   bool self_draining,
                                   bool with_draining,
                                   const MembershipTimeouts& times,
                                   Millis now) {
  std::vector<Candidate> candidates;
  if (with_draining || !self_draining)
    candidates.push_back({membership.self.id, membership.own_weight});
  for (const DaemonRef& peer : ReachablePeers(membership, times, now)) {
    const KnownDaemon& known = membership.daemons.at(peer.id);
    if (known.member.zone != membership.zone)
      continue;
    if (with_draining || !known.latest.draining)
      candidates.push_back({peer.id, known.member.weight});
  }
  return candidates;
}

}  // namespace

std::vector<Candidate> EndpointOwners(const Membership& membership,
                                      bool self_draining,
                                      const MembershipTimeouts& times,
                                      Millis now) {
  std::vector<Candidate> candidates =
      ZoneDaemons(membership, self_draining, false, times, now);
  if (candidates.empty())
    candidates = ZoneDaemons(membership, self_draining, true, times, now);
  return candidates;
}

std::vector<EndpointMember> OwnedEndpoints(const Membership& membership,
                                           bool self_draining,
                                           const MembershipTimeouts& times,
                                           Millis now) {
  const std::vector<Candidate> owners =
      EndpointOwners(membership, self_draining, times, now);
  std::vector<EndpointMember> owned;
  for (const auto& [id, known] : membership.endpoints) {
    if (!known.listed || known.leaving || known.member.zone != membership.zone)
      continue;
    if (ChooseByRendezvous(owners, id.value).id == membership.self.id)
      owned.push_back(known.member);
  }
  return owned;
}

}  // namespace dogwoodfall
