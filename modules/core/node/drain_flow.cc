#include "core/node/drain_flow.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/node/node_events.h"
#include "core/node/scheduler_flow.h"
#include "core/node/store_flow.h"

namespace dogwoodfall {
namespace {

/** Bytes of submissions in one hand-over message. */
constexpr size_t kHandoverBytes = 500'000;
/** Bytes of one submission besides its outputs. */
constexpr size_t kRecordBytes = 200;

void EnterPhase(Node& node, DrainPhase phase, Millis now, Actions& actions) {
  node.drain.phase = phase;
  node.drain.phase_started_at = now;
  LogEvent event;
  event.name = "drain_phase";
  event.fields = {{"phase", std::to_string(static_cast<int>(phase))}};
  actions.push_back(std::move(event));
}

void Exit(Node& node, bool is_clean, Millis now, Actions& actions) {
  EnterPhase(node, DrainPhase::kDone, now, actions);
  actions.push_back(ExitProcess{is_clean});
}

bool HasWorkInFlight(const Node& node) {
  return !node.ledger.open_by_deadline.empty() ||
         !node.dispatch.running.empty() || !node.forwards.empty() ||
         !node.note_waiters.empty() || SizeOf(node.dispatch.queue) > 0;
}

/** True when messages wait for a peer that can be reached. */
bool HasUnacknowledged(const Node& node, Millis now) {
  return std::any_of(node.sessions.sessions.begin(),
                     node.sessions.sessions.end(), [&](const auto& entry) {
                       return !entry.second.unacknowledged.empty() &&
                              IsReachable(node.membership, entry.second.peer,
                                          node.settings.membership, now);
                     });
}

/** The peer that takes over: of this zone if there is one; none if there is
 * no peer that stays.
 */
DaemonRef ChooseSuccessor(const Node& node, Millis now) {
  DaemonRef chosen;
  for (const DaemonRef& peer :
       ReachablePeers(node.membership, node.settings.membership, now)) {
    const KnownDaemon& known = node.membership.daemons.at(peer.id);
    if (known.latest.draining || !HasSession(node.sessions, peer))
      continue;
    if (chosen.id.value.empty() || known.member.zone == node.settings.zone)
      chosen = peer;
    if (known.member.zone == node.settings.zone)
      break;
  }
  return chosen;
}

KnownSubmission KnownFrom(const SubmissionRecord& record) {
  KnownSubmission known;
  known.id = record.id;
  known.customer = record.customer;
  known.fingerprint = record.fingerprint;
  known.answer = *record.answer;
  return known;
}

void SendHandovers(Node& node, Millis now, Actions& actions) {
  const auto send = [&](LedgerHandover message) {
    Send(node.sessions, node.drain.successor, std::move(message),
         node.settings.sessions, now, actions);
  };
  LedgerHandover part;
  part.home = node.settings.self;
  size_t bytes = 0;
  for (const auto& [id_timestamp, key] : node.ledger.ended_by_id_timestamp) {
    const SubmissionRecord& record = node.ledger.records.at(key);
    part.submissions.push_back(KnownFrom(record));
    bytes += record.answer_bytes + kRecordBytes;
    if (bytes < kHandoverBytes)
      continue;
    send(std::move(part));
    part = LedgerHandover{};
    part.home = node.settings.self;
    bytes = 0;
  }
  send(std::move(part));
  std::set<DaemonRef> homes = node.ledger.adopted_homes;
  homes.insert(node.settings.self);
  for (const DaemonRef& home : homes) {
    LedgerHandover last;
    last.home = home;
    last.low_watermark = LowWatermarkOf(node.ledger, home);
    last.chosen_low_watermark = node.ledger.chosen_low_watermark;
    last.last = true;
    send(std::move(last));
  }
  node.drain.unconfirmed = std::move(homes);
}

void BeginHandover(Node& node, Millis now, Actions& actions) {
  node.drain.successor = ChooseSuccessor(node, now);
  EnterPhase(node, DrainPhase::kHandingOver, now, actions);
  if (!node.drain.successor.id.value.empty())
    SendHandovers(node, now, actions);
}

void BeginNotes(Node& node, Millis now, Actions& actions) {
  EnterPhase(node, DrainPhase::kLeavingNotes, now, actions);
  if (!node.drain.successor.id.value.empty())
    WriteStopNote(node, actions);
  else
    node.drain.note_written = true;
  node.claims.next_table_read = Millis{};
}

bool ServesSlots(const Node& node) {
  return std::find(node.claims.serving.begin(), node.claims.serving.end(),
                   true) != node.claims.serving.end() ||
         node.claims.job.stage != OwnershipStage::kIdle;
}

/** True when the successor ended before it confirmed. */
bool HasLostSuccessor(const Node& node) {
  return !node.drain.successor.id.value.empty() &&
         !HasSession(node.sessions, node.drain.successor);
}

}  // namespace

void StepDrain(Node& node, Millis now, Actions& actions) {
  DrainState& drain = node.drain;
  if (drain.phase == DrainPhase::kServing || drain.phase == DrainPhase::kDone)
    return;
  if (now - drain.started_at >= node.settings.drain_timeout) {
    Exit(node, false, now, actions);
    return;
  }
  switch (drain.phase) {
    case DrainPhase::kFinishing:
      ReturnQueuedTasks(node, now, actions);
      // Peers hear of the stop by heartbeat before work is counted as over.
      if (now - drain.started_at < node.settings.membership.unreachable_after)
        return;
      if (!HasWorkInFlight(node) && !HasUnacknowledged(node, now))
        BeginHandover(node, now, actions);
      return;
    case DrainPhase::kHandingOver:
      if (HasLostSuccessor(node))
        BeginHandover(node, now, actions);
      else if (drain.unconfirmed.empty() || drain.successor.id.value.empty())
        BeginNotes(node, now, actions);
      return;
    case DrainPhase::kLeavingNotes: {
      const bool waited_enough =
          now - drain.phase_started_at >= node.settings.drain_store_timeout;
      const bool handed_on = drain.note_written && !ServesSlots(node);
      if ((handed_on || waited_enough) && node.forwards.empty() &&
          node.note_waiters.empty() && !HasUnacknowledged(node, now))
        Exit(node, !node.is_expelled, now, actions);
      return;
    }
    case DrainPhase::kServing:
    case DrainPhase::kDone:
      return;
  }
}

void TakeHandover(Node& node,
                  Millis now,
                  const DaemonRef& from,
                  const LedgerHandover& handover,
                  Actions& actions) {
  for (const KnownSubmission& known : handover.submissions)
    AdoptSubmission(node.ledger, known, node.settings.ledger);
  if (!handover.last)
    return;
  Millis& low_watermark = node.ledger.minted_low_watermarks[handover.home];
  low_watermark = std::max(low_watermark, handover.low_watermark);
  node.ledger.chosen_low_watermark =
      std::max(node.ledger.chosen_low_watermark, handover.chosen_low_watermark);
  node.ledger.adopted_homes.insert(handover.home);
  node.successors.erase(handover.home);
  Send(node.sessions, from, LedgerHandoverAccepted{handover.home},
       node.settings.sessions, now, actions);
  for (const DaemonRef& peer :
       ReachablePeers(node.membership, node.settings.membership, now)) {
    Send(node.sessions, peer,
         HomeSuccessorNotice{handover.home, node.settings.self},
         node.settings.sessions, now, actions);
  }
}

void TakeHandoverConfirmation(Node& node,
                              const DaemonRef& from,
                              const LedgerHandoverAccepted& taken) {
  if (from == node.drain.successor)
    node.drain.unconfirmed.erase(taken.home);
}

void OnDrain(Node& node, Millis now, Actions& actions) {
  if (node.drain.phase != DrainPhase::kServing)
    return;
  node.drain.started_at = now;
  EnterPhase(node, DrainPhase::kFinishing, now, actions);
  ReturnQueuedTasks(node, now, actions);
  UpdateOwnedEndpoints(node, now);
  node.next_heartbeat = now;
  Pump(node, now, actions);
}

}  // namespace dogwoodfall
