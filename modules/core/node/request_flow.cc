#include "core/node/request_flow.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/node/home_flow.h"
#include "core/node/request_routing.h"
#include "core/node/store_flow.h"

namespace dogwoodfall {
namespace {

/** Maximum number of requests that wait for one successor record. */
constexpr size_t kMaxSuccessorRecordWaiters = 5'000;
/** Maximum number of successor records read at the same time. The number needs
 * a limit because callers can send ids with invented homes.
 */
constexpr size_t kMaxSuccessorRecordReads = 20;

void ForwardRequest(Node& node,
                    Millis now,
                    const Waiter& waiter,
                    const DaemonRef& to,
                    SubmissionRequest request,
                    Actions& actions) {
  const ForwardId id(++node.last_forward_id);
  std::visit([&id](auto& message) { message.forward = id; }, request);
  PeerMessage message = std::visit(
      [](const auto& typed) -> PeerMessage { return typed; }, request);
  const SubmissionId submission = IdOf(request);
  const bool is_sent = Send(node.sessions, to, std::move(message),
                            node.settings.sessions, now, actions);
  if (!is_sent) {
    DeliverPending(node, now, waiter, submission, ResultCode::kHomeUnreachable,
                   actions);
    return;
  }
  ++node.counters.requests_forwarded;
  node.forwards[id] = PendingForward{waiter, to, std::move(request), now};
}

/** Chooses a peer that accepts new submissions. Returns an empty reference if
 * there is none.
 */
DaemonRef ChoosePeerForNewWork(const Node& node, Millis now) {
  for (const DaemonRef& peer :
       ReachablePeers(node.membership, node.settings.membership, now)) {
    const KnownDaemon& known = node.membership.daemons.at(peer.id);
    if (!known.last_heartbeat.draining && known.last_heartbeat.revision > 0 &&
        HasSession(node.sessions, peer))
      return peer;
  }
  return {};
}

/** Handles a submission without an id. It can't be a resubmission, so any
 * daemon may accept it.
 */
void HandleWithoutId(Node& node,
                     Millis now,
                     const Waiter& waiter,
                     SubmitForward request,
                     Actions& actions) {
  if (node.drain.phase != DrainPhase::kServing && request.hops < kMaxHops) {
    const DaemonRef peer = ChoosePeerForNewWork(node, now);
    if (!peer.id.value.empty()) {
      ++request.hops;
      ForwardRequest(node, now, waiter, peer, std::move(request), actions);
      return;
    }
  }
  if (HasBegunHandover(node)) {
    Deliver(node, now, waiter,
            RefusedAnswer({}, ResultCode::kDraining, node.settings.retry_delay),
            actions);
    return;
  }
  request.submission.id =
      MintId(node.ledger, node.settings.self, node.settings.zone, now);
  HandleAtHome(node, now, waiter, request, actions);
}

/** Holds a request until the successor record of a home is read. Returns false
 * if too many requests or records are pending.
 */
bool WaitForSuccessorRecord(Node& node,
                            const Waiter& waiter,
                            const DaemonRef& home,
                            const SubmissionRequest& request,
                            Actions& actions) {
  const bool is_new = node.successor_record_waiters.count(home) == 0;
  if (is_new &&
      node.successor_record_waiters.size() >= kMaxSuccessorRecordReads)
    return false;
  std::vector<SuccessorRecordWaiter>& waiters =
      node.successor_record_waiters[home];
  if (waiters.size() >= kMaxSuccessorRecordWaiters)
    return false;
  waiters.push_back({waiter, request});
  if (waiters.size() == 1)
    ReadSuccessorRecord(node, home, actions);
  return true;
}

void FollowRoute(Node& node,
                 Millis now,
                 const Waiter& waiter,
                 const Route& route,
                 SubmissionRequest request,
                 Actions& actions) {
  uint32_t& hops = HopsOf(request);
  ClaimantOf(request) = route.claimant;
  switch (route.kind) {
    case RouteKind::kLocal:
      HandleAtHome(node, now, waiter, request, actions);
      return;
    case RouteKind::kClaimLocally:
      HandleAtClaimOwner(node, now, waiter, request, actions);
      return;
    case RouteKind::kPeer:
      if (hops < kMaxHops) {
        ++hops;
        ForwardRequest(node, now, waiter, route.peer, std::move(request),
                       actions);
        return;
      }
      break;
    case RouteKind::kFinal:
      Deliver(
          node, now, waiter,
          FailedAnswer(IdOf(request), route.code, StartState::kMayHaveStarted),
          actions);
      return;
    case RouteKind::kLookUpSuccessor:
      if (WaitForSuccessorRecord(node, waiter, route.peer, request, actions))
        return;
      break;
    case RouteKind::kUndecided:
      break;
  }
  DeliverPending(node, now, waiter, IdOf(request), route.code, actions);
}

}  // namespace

void HandleRequest(Node& node,
                   Millis now,
                   const Waiter& waiter,
                   SubmissionRequest request,
                   Actions& actions) {
  const SubmissionId id = IdOf(request);
  if (id.value.empty() && std::holds_alternative<SubmitForward>(request)) {
    HandleWithoutId(node, now, waiter,
                    std::move(std::get<SubmitForward>(request)), actions);
    return;
  }
  const Result<ParsedId> parsed = ParseSubmissionId(id);
  if (!parsed.ok()) {
    Deliver(node, now, waiter, RefusedAnswer(id, parsed.error().code), actions);
    return;
  }
  const Route route = FindRoute(node, request, parsed.value(), now);
  FollowRoute(node, now, waiter, route, std::move(request), actions);
}

void Deliver(Node& node,
             Millis now,
             const Waiter& waiter,
             const Answer& answer,
             Actions& actions) {
  if (const auto* caller = std::get_if<CallerToken>(&waiter.to)) {
    AnswerCaller action;
    action.caller = *caller;
    action.answer = answer;
    if (node.drain.phase == DrainPhase::kServing) {
      action.spare_id =
          MintId(node.ledger, node.settings.self, node.settings.zone, now);
    }
    actions.push_back(std::move(action));
    return;
  }
  const auto& peer = std::get<PeerWaiter>(waiter.to);
  // If the peer has ended, Send() fails, and its callers are gone as well.
  Send(node.sessions, peer.peer, ForwardAnswer{peer.forward, answer},
       node.settings.sessions, now, actions);
}

void DeliverPending(Node& node,
                    Millis now,
                    const Waiter& waiter,
                    const SubmissionId& id,
                    ResultCode code,
                    Actions& actions) {
  Deliver(node, now, waiter,
          PendingAnswer(id, code, StartState::kMayHaveStarted,
                        node.settings.retry_delay),
          actions);
}

void RerouteForwardsTo(Node& node,
                       Millis now,
                       const DaemonRef& ended,
                       Actions& actions) {
  std::vector<ForwardId> forwards_to_ended;
  for (const auto& [id, forward] : node.forwards) {
    if (forward.to == ended)
      forwards_to_ended.push_back(id);
  }
  std::sort(forwards_to_ended.begin(), forwards_to_ended.end());
  for (const ForwardId& id : forwards_to_ended) {
    PendingForward forward = std::move(node.forwards.at(id));
    node.forwards.erase(id);
    const bool has_no_id = IdOf(forward.request).value.empty();
    if (has_no_id) {
      // The peer may have started the submission under an id known only to it.
      Deliver(node, now, forward.waiter,
              FailedAnswer({}, ResultCode::kDaemonLost,
                           StartState::kMayHaveStarted),
              actions);
      continue;
    }
    HandleRequest(node, now, forward.waiter, std::move(forward.request),
                  actions);
  }
}

void ResumeSuccessorRecordWaiters(Node& node,
                                  Millis now,
                                  const DaemonRef& home,
                                  bool has_reply,
                                  Actions& actions) {
  const auto found = node.successor_record_waiters.find(home);
  if (found == node.successor_record_waiters.end())
    return;
  const std::vector<SuccessorRecordWaiter> waiters = std::move(found->second);
  node.successor_record_waiters.erase(found);
  for (const SuccessorRecordWaiter& entry : waiters) {
    if (has_reply) {
      HandleRequest(node, now, entry.waiter, entry.request, actions);
      continue;
    }
    DeliverPending(node, now, entry.waiter, IdOf(entry.request),
                   ResultCode::kHomeUnreachable, actions);
  }
}

void ExpireForwards(Node& node, Millis now, Actions& actions) {
  std::vector<ForwardId> expired;
  for (const auto& [id, forward] : node.forwards) {
    if (now - forward.sent_at >= node.settings.forward_timeout &&
        !IsReachable(node.membership, forward.to, node.settings.membership,
                     now))
      expired.push_back(id);
  }
  std::sort(expired.begin(), expired.end());
  for (const ForwardId& id : expired) {
    const PendingForward forward = std::move(node.forwards.at(id));
    node.forwards.erase(id);
    DeliverPending(node, now, forward.waiter, IdOf(forward.request),
                   ResultCode::kHomeUnreachable, actions);
  }
}

void ExpirePolls(Node& node, Millis now, Actions& actions) {
  while (!node.poll_deadlines.empty() &&
         node.poll_deadlines.begin()->first <= now) {
    const SubmissionKey key = node.poll_deadlines.begin()->second;
    node.poll_deadlines.erase(node.poll_deadlines.begin());
    SubmissionRecord* record = FindRecord(node.ledger, key);
    if (record == nullptr)
      continue;
    std::vector<Waiter> remaining;
    std::vector<Waiter> due;
    for (const Waiter& waiter : record->waiters) {
      const bool is_due = waiter.answer_by && *waiter.answer_by <= now;
      (is_due ? due : remaining).push_back(waiter);
    }
    record->waiters = std::move(remaining);
    const Answer answer =
        PendingAnswer(record->id, ResultCode::kStillRunning,
                      StartState::kMayHaveStarted, node.settings.retry_delay);
    for (const Waiter& waiter : due)
      Deliver(node, now, waiter, answer, actions);
  }
}

void HandleForwardAnswer(Node& node,
                         Millis now,
                         const DaemonRef& from,
                         const ForwardAnswer& message,
                         Actions& actions) {
  const auto found = node.forwards.find(message.forward);
  if (found == node.forwards.end() || found->second.to != from) {
    ++node.counters.unmatched_peer_answers;
    ++node.counters.waste.dropped_answers;
    return;
  }
  const Waiter waiter = found->second.waiter;
  node.forwards.erase(found);
  Deliver(node, now, waiter, message.answer, actions);
}

}  // namespace dogwoodfall
