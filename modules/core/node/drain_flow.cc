#include "core/node/drain_flow.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/node/node_events.h"
#include "core/node/scheduler_flow.h"
#include "core/node/store_flow.h"

namespace dogwoodfall {
namespace {

/** Size at which a handover message is sent and the next one begins. */
constexpr size_t kMaxHandoverBytes = 500'000;
/** Estimated size of a submission without its outputs. */
constexpr size_t kRecordOverheadBytes = 200;

void EnterPhase(Node& node, DrainPhase phase, Millis now, Actions& actions) {
  node.drain.phase = phase;
  node.drain.phase_started_at = now;
  LogEvent event;
  event.name = "drain_phase";
  event.fields = {{"phase", std::to_string(static_cast<int>(phase))}};
  actions.push_back(std::move(event));
}

void RequestExit(Node& node, bool is_clean, Millis now, Actions& actions) {
  EnterPhase(node, DrainPhase::kDone, now, actions);
  actions.push_back(ExitProcess{is_clean});
}

bool HasWorkInFlight(const Node& node) {
  return !node.ledger.open_by_deadline.empty() ||
         !node.dispatch.running.empty() || !node.forwards.empty() ||
         !node.successor_record_waiters.empty() ||
         SizeOf(node.dispatch.queue) > 0;
}

/** Returns true if a reachable peer has not acknowledged all messages. */
bool HasUnacknowledgedMessages(const Node& node, Millis now) {
  return std::any_of(node.sessions.sessions.begin(),
                     node.sessions.sessions.end(), [&](const auto& entry) {
                       return !entry.second.unacknowledged.empty() &&
                              IsReachable(node.membership, entry.second.peer,
                                          node.settings.membership, now);
                     });
}

/** Chooses the peer that adopts this daemon's submissions, preferably one of
 * this zone. Returns an empty reference if every reachable peer is draining.
 */
DaemonRef ChooseSuccessor(const Node& node, Millis now) {
  DaemonRef chosen;
  for (const DaemonRef& peer :
       ReachablePeers(node.membership, node.settings.membership, now)) {
    const KnownDaemon& known = node.membership.daemons.at(peer.id);
    if (known.last_heartbeat.draining || !HasSession(node.sessions, peer))
      continue;
    if (chosen.id.value.empty() || known.member.zone == node.settings.zone)
      chosen = peer;
    if (known.member.zone == node.settings.zone)
      break;
  }
  return chosen;
}

KnownSubmission MakeKnownSubmission(const SubmissionRecord& record) {
  KnownSubmission known;
  known.id = record.id;
  known.customer = record.customer;
  known.fingerprint = record.fingerprint;
  known.answer = *record.answer;
  return known;
}

void SendHandovers(Node& node, Millis now, Actions& actions) {
  const auto send_batch = [&](LedgerHandover message) {
    Send(node.sessions, node.drain.successor, std::move(message),
         node.settings.sessions, now, actions);
  };
  LedgerHandover batch;
  batch.home = node.settings.self;
  size_t bytes = 0;
  for (const auto& [id_timestamp, key] : node.ledger.ended_by_id_timestamp) {
    const SubmissionRecord& record = node.ledger.records.at(key);
    batch.submissions.push_back(MakeKnownSubmission(record));
    bytes += record.answer_bytes + kRecordOverheadBytes;
    if (bytes < kMaxHandoverBytes)
      continue;
    send_batch(std::move(batch));
    batch = LedgerHandover{};
    batch.home = node.settings.self;
    bytes = 0;
  }
  send_batch(std::move(batch));
  std::set<DaemonRef> homes = node.ledger.adopted_homes;
  homes.insert(node.settings.self);
  for (const DaemonRef& home : homes) {
    LedgerHandover final_message;
    final_message.home = home;
    final_message.low_watermark = LowWatermarkOf(node.ledger, home);
    final_message.chosen_low_watermark = node.ledger.chosen_low_watermark;
    final_message.last = true;
    send_batch(std::move(final_message));
  }
  node.drain.unconfirmed = std::move(homes);
}

void BeginHandover(Node& node, Millis now, Actions& actions) {
  node.drain.successor = ChooseSuccessor(node, now);
  EnterPhase(node, DrainPhase::kHandingOver, now, actions);
  if (!node.drain.successor.id.value.empty())
    SendHandovers(node, now, actions);
}

void BeginWritingSuccessorRecords(Node& node, Millis now, Actions& actions) {
  EnterPhase(node, DrainPhase::kWritingSuccessorRecords, now, actions);
  if (!node.drain.successor.id.value.empty())
    WriteSuccessorRecords(node, actions);
  else
    node.drain.is_successor_record_written = true;
  node.claims.next_table_read_at = Millis{};
}

bool ServesSlots(const Node& node) {
  return std::find(node.claims.serving.begin(), node.claims.serving.end(),
                   true) != node.claims.serving.end() ||
         node.claims.table_update.stage != SlotTableUpdateStage::kIdle;
}

/** Returns true if the session with the successor has ended. */
bool HasLostSuccessor(const Node& node) {
  return !node.drain.successor.id.value.empty() &&
         !HasSession(node.sessions, node.drain.successor);
}

}  // namespace

void AdvanceDrain(Node& node, Millis now, Actions& actions) {
  DrainState& drain = node.drain;
  if (drain.phase == DrainPhase::kServing || drain.phase == DrainPhase::kDone)
    return;
  if (now - drain.started_at >= node.settings.drain_timeout) {
    RequestExit(node, false, now, actions);
    return;
  }
  switch (drain.phase) {
    case DrainPhase::kFinishing:
      ReturnQueuedTasks(node, now, actions);
      // The work counts as finished only after heartbeats have reported the
      // shutdown to the peers; otherwise they could still forward tasks here.
      if (now - drain.started_at < node.settings.membership.unreachable_after)
        return;
      if (!HasWorkInFlight(node) && !HasUnacknowledgedMessages(node, now))
        BeginHandover(node, now, actions);
      return;
    case DrainPhase::kHandingOver:
      if (HasLostSuccessor(node))
        BeginHandover(node, now, actions);
      else if (drain.unconfirmed.empty() || drain.successor.id.value.empty())
        BeginWritingSuccessorRecords(node, now, actions);
      return;
    case DrainPhase::kWritingSuccessorRecords: {
      const bool is_store_wait_over =
          now - drain.phase_started_at >= node.settings.drain_store_timeout;
      const bool is_handed_over =
          drain.is_successor_record_written && !ServesSlots(node);
      if ((is_handed_over || is_store_wait_over) && node.forwards.empty() &&
          node.successor_record_waiters.empty() &&
          !HasUnacknowledgedMessages(node, now))
        RequestExit(node, !node.is_expelled, now, actions);
      return;
    }
    case DrainPhase::kServing:
    case DrainPhase::kDone:
      return;
  }
}

void ApplyHandover(Node& node,
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

void HandleHandoverAccepted(Node& node,
                            const DaemonRef& from,
                            const LedgerHandoverAccepted& accepted) {
  if (from == node.drain.successor)
    node.drain.unconfirmed.erase(accepted.home);
}

void OnDrain(Node& node, Millis now, Actions& actions) {
  if (node.drain.phase != DrainPhase::kServing)
    return;
  node.drain.started_at = now;
  EnterPhase(node, DrainPhase::kFinishing, now, actions);
  ReturnQueuedTasks(node, now, actions);
  UpdateOwnedEndpoints(node, now);
  node.next_heartbeat_at = now;
  DispatchTasks(node, now, actions);
}

}  // namespace dogwoodfall
