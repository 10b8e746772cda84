#include "core/node/request_routing.h"

#include <variant>

#include "core/claims/claim_registry.h"
#include "core/membership/membership.h"

namespace dogwoodfall {
namespace {

bool HoldsLedgerOf(const Node& node, const DaemonRef& home) {
  if (HasBegunHandover(node))
    return false;
  return home == node.settings.self ||
         node.ledger.adopted_homes.count(home) > 0;
}

/** Follows the known successors of a home to the daemon that holds its ledger.
 */
DaemonRef ResolveSuccessor(const Node& node, DaemonRef home) {
  for (uint32_t hop = 0; hop < kMaxHops; ++hop) {
    if (home == node.settings.self && HasBegunHandover(node))
      return node.drain.successor;
    if (HoldsLedgerOf(node, home))
      return home;
    const auto next = node.successors.find(home);
    if (next == node.successors.end())
      return home;
    home = next->second;
  }
  return home;
}

Route RouteToHome(const Node& node, const DaemonRef& home, Millis now) {
  const DaemonRef target = ResolveSuccessor(node, home);
  Route route;
  if (HoldsLedgerOf(node, target)) {
    route.kind = RouteKind::kLocal;
    return route;
  }
  if (IsReachable(node.membership, target, node.settings.membership, now)) {
    route.kind = RouteKind::kPeer;
    route.peer = target;
    return route;
  }
  if (!IsGone(node.membership, target, node.settings.membership, now))
    return route;
  if (node.homes_without_successor_record.count(target) == 0) {
    route.kind = RouteKind::kLookUpSuccessor;
    route.peer = target;
    return route;
  }
  route.kind = RouteKind::kFinal;
  route.code = ResultCode::kHomeGone;
  return route;
}

Route RouteCallerChosenId(const Node& node,
                          const SubmissionKey& key,
                          Millis id_timestamp,
                          const DaemonRef& claimant,
                          Millis now) {
  Route route;
  if (!claimant.id.value.empty()) {
    route = RouteToHome(node, claimant, now);
    route.claimant = claimant;
    return route;
  }
  // A submission in this daemon's ledger is answered from there, whichever
  // daemon owns the hash slot now. Once a handover has begun, the successor
  // answers it.
  if (FindRecord(node.ledger, key) != nullptr) {
    route = RouteToHome(node, node.settings.self, now);
    route.claimant = node.settings.self;
    return route;
  }
  const ClaimLookup lookup = LookUpClaim(node.claims, key, id_timestamp);
  switch (lookup.status) {
    case ClaimStatus::kUnclaimed:
      route.code = ResultCode::kClaimUndecided;
      if (!HasBegunHandover(node))
        route.kind = RouteKind::kClaimLocally;
      return route;
    case ClaimStatus::kClaimedByPreviousOwner:
      route = RouteToHome(node, lookup.daemon, now);
      route.claimant = lookup.daemon;
      return route;
    case ClaimStatus::kOwnedElsewhere:
      if (IsReachable(node.membership, lookup.daemon, node.settings.membership,
                      now)) {
        route.kind = RouteKind::kPeer;
        route.peer = lookup.daemon;
      }
      return route;
    case ClaimStatus::kUndecided:
      route.code = ResultCode::kClaimUndecided;
      return route;
    case ClaimStatus::kTooOld:
      route.kind = RouteKind::kFinal;
      route.code = ResultCode::kIdTooOld;
      return route;
  }
  return route;
}

}  // namespace

const CustomerId& CustomerOf(const SubmissionRequest& request) {
  if (const auto* submit = std::get_if<SubmitForward>(&request))
    return submit->submission.customer;
  if (const auto* status = std::get_if<StatusForward>(&request))
    return status->customer;
  return std::get<CancelForward>(request).customer;
}

const SubmissionId& IdOf(const SubmissionRequest& request) {
  if (const auto* submit = std::get_if<SubmitForward>(&request))
    return submit->submission.id;
  if (const auto* status = std::get_if<StatusForward>(&request))
    return status->submission;
  return std::get<CancelForward>(request).submission;
}

DaemonRef& ClaimantOf(SubmissionRequest& request) {
  return std::visit(
      [](auto& message) -> DaemonRef& { return message.claimant; }, request);
}

uint32_t& HopsOf(SubmissionRequest& request) {
  return std::visit([](auto& message) -> uint32_t& { return message.hops; },
                    request);
}

bool HasBegunHandover(const Node& node) {
  return node.drain.phase > DrainPhase::kFinishing &&
         !node.drain.successor.id.value.empty();
}

Route FindRoute(const Node& node,
                const SubmissionRequest& request,
                const ParsedId& id,
                Millis now) {
  if (const auto* minted = std::get_if<MintedId>(&id))
    return RouteToHome(node, minted->home, now);
  const auto& chosen = std::get<CallerChosenId>(id);
  const DaemonRef& claimant = std::visit(
      [](const auto& message) -> const DaemonRef& { return message.claimant; },
      request);
  return RouteCallerChosenId(node, KeyOf(CustomerOf(request), IdOf(request)),
                             chosen.first_sent_at, claimant, now);
}

}  // namespace dogwoodfall
