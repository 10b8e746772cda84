#include "core/node/store_flow.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "config/configuration_text.h"
#include "core/claims/ownership.h"
#include "core/node/home_flow.h"
#include "core/node/node_events.h"
#include "core/node/peer_flow.h"
#include "core/node/request_flow.h"
#include "core/node/scheduler_flow.h"
#include "core/routing/rendezvous.h"
#include "records/stop_note.h"

namespace dogwoodfall {
namespace {

void Call(Node& node,
          StoreCallKind kind,
          PendingStoreCall wanted,
          const DaemonRef& home,
          Actions& actions) {
  const StoreToken token(++node.last_store_token);
  node.store_calls[token] = {kind, node.claims.store_revision, home};
  actions.push_back(
      CallStore{token, wanted.purpose, std::move(wanted.request)});
}

/** The daemons that may own slots, this one included. */
std::vector<Candidate> SlotOwners(const Node& node, Millis now) {
  std::vector<Candidate> candidates;
  if (node.drain.phase == DrainPhase::kServing)
    candidates.push_back({node.settings.self.id, node.membership.own_weight});
  for (const DaemonRef& peer :
       ReachablePeers(node.membership, node.settings.membership, now)) {
    const KnownDaemon& known = node.membership.daemons.at(peer.id);
    if (known.latest.can_claim && !known.latest.draining)
      candidates.push_back({peer.id, known.member.weight});
  }
  // The same few in every daemon's view, so that claims are written in groups.
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return StableHash("owner\n" + a.id.value) <
                     StableHash("owner\n" + b.id.value);
            });
  if (candidates.size() > node.settings.claims.max_owners)
    candidates.resize(node.settings.claims.max_owners);
  return candidates;
}

OwnershipContext ViewOf(const Node& node, Millis now) {
  OwnershipContext view;
  view.is_gone = [&node, now](const DaemonRef& daemon) {
    return IsGone(node.membership, daemon, node.settings.membership, now);
  };
  view.preferred_owner = [&node,
                          candidates = SlotOwners(node, now)](uint32_t slot) {
    if (candidates.empty())
      return node.settings.self.id;
    return ChooseByRendezvous(candidates, "slot" + std::to_string(slot)).id;
  };
  view.is_releasing_all = node.drain.phase == DrainPhase::kLeavingNotes;
  return view;
}

void TakeConfigurationReply(Node& node,
                            Millis now,
                            const StoreReply& reply,
                            Actions& actions) {
  node.configuration_call_out = false;
  if (reply.outcome != StoreOutcome::kDone || reply.items.empty())
    return;
  TakeConfiguration(node, reply.items.front().value, actions);
  Pump(node, now, actions);
}

/** Remembers that a home left no note; callers may make up any number. */
void NoteWithoutNote(Node& node, const DaemonRef& home) {
  constexpr size_t kMostKept = 10'000;
  if (node.without_note.size() >= kMostKept)
    node.without_note.clear();
  node.without_note.insert(home);
}

void TakeStopNote(Node& node,
                  Millis now,
                  const DaemonRef& home,
                  const StoreReply& reply,
                  Actions& actions) {
  const bool is_known = reply.outcome == StoreOutcome::kDone;
  if (is_known) {
    const Result<SuccessorRecord> note =
        reply.items.empty() ? Result<SuccessorRecord>(Error{})
                            : DecodeSuccessorRecord(reply.items.front().value);
    if (note.ok())
      node.successors[home] = note.value().successor;
    else
      NoteWithoutNote(node, home);
  }
  ReleaseNoteWaiters(node, now, home, is_known, actions);
}

void TakeReply(Node& node,
               Millis now,
               const OpenStoreCall& call,
               const StoreReply& reply,
               Actions& actions) {
  switch (call.kind) {
    case StoreCallKind::kConfiguration:
      TakeConfigurationReply(node, now, reply, actions);
      return;
    case StoreCallKind::kJournal: {
      const ClaimResults results =
          HandleJournalReply(node.claims, reply, node.settings.claims, now);
      TakeClaimed(node, now, results.claimed, actions);
      GiveUpClaims(node, now, results.undecided, actions);
      return;
    }
    case StoreCallKind::kOwnership:
      node.ownership_call_out = false;
      HandleOwnershipReply(node.claims, reply, ViewOf(node, now),
                           node.settings.claims, now);
      node.ledger.chosen_low_watermark =
          std::max(node.ledger.chosen_low_watermark, node.claims.low_watermark);
      return;
    case StoreCallKind::kReadStopNote:
      TakeStopNote(node, now, call.home, reply, actions);
      return;
    case StoreCallKind::kWriteStopNote:
      node.drain.note_written = reply.outcome == StoreOutcome::kDone;
      return;
  }
}

/** Says loudly, once, that the store went back in time. */
void LogRestored(Node& node,
                 const StoreReply& reply,
                 bool was_restored,
                 Actions& actions) {
  if (was_restored || !node.claims.store_restored)
    return;
  LogEvent event;
  event.name = "store_restored_to_older_state";
  event.fields = {
      {"revision", std::to_string(reply.revision)},
      {"revision_seen", std::to_string(node.claims.store_revision)}};
  actions.push_back(std::move(event));
}

}  // namespace

void MakeStoreCalls(Node& node, Millis now, Actions& actions) {
  if (!node.configuration_call_out && now >= node.next_configuration_read) {
    node.configuration_call_out = true;
    node.next_configuration_read = now + node.settings.configuration_period;
    Call(node, StoreCallKind::kConfiguration,
         {StorePurpose::kConfiguration, StoreRead{kConfigurationKey, false}},
         {}, actions);
  }
  std::optional<PendingStoreCall> journal =
      NextJournalCall(node.claims, node.settings.claims, now);
  if (journal)
    Call(node, StoreCallKind::kJournal, std::move(*journal), {}, actions);
  if (!node.ownership_call_out) {
    std::optional<PendingStoreCall> ownership =
        NextOwnershipCall(node.claims, node.settings.claims, now);
    if (ownership) {
      node.ownership_call_out = true;
      Call(node, StoreCallKind::kOwnership, std::move(*ownership), {}, actions);
    }
  }
}

void ReadStopNote(Node& node, const DaemonRef& home, Actions& actions) {
  Call(node, StoreCallKind::kReadStopNote,
       {StorePurpose::kSuccessorRecord,
        StoreRead{SuccessorRecordKey(home), false}},
       home, actions);
}

void WriteStopNote(Node& node, Actions& actions) {
  StoreTransaction transaction;
  const std::string text = Encode(SuccessorRecord{node.drain.successor});
  transaction.puts.push_back({SuccessorRecordKey(node.settings.self), text});
  for (const DaemonRef& home : node.ledger.adopted_homes)
    transaction.puts.push_back({SuccessorRecordKey(home), text});
  Call(node, StoreCallKind::kWriteStopNote,
       {StorePurpose::kSuccessorRecord, std::move(transaction)}, {}, actions);
}

void OnStoreReply(Node& node,
                  Millis now,
                  StoreToken token,
                  const StoreReply& reply,
                  Actions& actions) {
  const auto found = node.store_calls.find(token);
  if (found == node.store_calls.end())
    return;
  const OpenStoreCall call = found->second;
  node.store_calls.erase(found);
  const bool was_restored = node.claims.store_restored;
  // What a restored store says of claims and owners is not to be used.
  const bool is_usable =
      UpdateStoreRevision(node.claims, reply, call.known_revision);
  const bool is_of_claims = call.kind == StoreCallKind::kJournal ||
                            call.kind == StoreCallKind::kOwnership;
  LogRestored(node, reply, was_restored, actions);
  TakeReply(node, now, call, is_usable || !is_of_claims ? reply : StoreReply{},
            actions);
  if (node.claims.needs_new_journal && node.claims.call == JournalCall::kNone) {
    node.claims.needs_new_journal = false;
    GiveUpClaims(node, now, AbandonJournal(node.claims), actions);
  }
  MakeStoreCalls(node, now, actions);
}

}  // namespace dogwoodfall
