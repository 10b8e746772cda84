#include "core/routing/ownership.h"

namespace dogwoodfall {
namespace {

std::vector<Candidate> ReachableZoneDaemons(const Membership& membership,
                                            bool is_self_draining,
                                            bool include_draining,
                                            const MembershipTimeouts& timeouts,
                                            Millis now) {
  std::vector<Candidate> candidates;
  if (include_draining || !is_self_draining)
    candidates.push_back({membership.self.id, membership.own_weight});
  for (const DaemonRef& peer : ReachablePeers(membership, timeouts, now)) {
    const KnownDaemon& known = membership.daemons.at(peer.id);
    if (known.member.zone != membership.zone)
      continue;
    if (include_draining || !known.last_heartbeat.draining)
      candidates.push_back({peer.id, known.member.weight});
  }
  return candidates;
}

}  // namespace

std::vector<Candidate> EndpointOwners(const Membership& membership,
                                      bool is_self_draining,
                                      const MembershipTimeouts& timeouts,
                                      Millis now) {
  std::vector<Candidate> candidates =
      ReachableZoneDaemons(membership, is_self_draining, false, timeouts, now);
  if (candidates.empty())
    candidates =
        ReachableZoneDaemons(membership, is_self_draining, true, timeouts, now);
  return candidates;
}

std::vector<EndpointMember> OwnedEndpoints(const Membership& membership,
                                           bool is_self_draining,
                                           const MembershipTimeouts& timeouts,
                                           Millis now) {
  const std::vector<Candidate> owners =
      EndpointOwners(membership, is_self_draining, timeouts, now);
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
