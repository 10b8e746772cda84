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
#include "records/successor_record.h"

namespace dogwoodfall {
namespace {

void SendStoreCall(Node& node,
                   StoreCallKind kind,
                   StoreCallRequest call_request,
                   const DaemonRef& home,
                   Actions& actions) {
  const StoreToken token(++node.last_store_token);
  node.store_calls[token] = {kind, node.claims.store_revision, home};
  actions.push_back(
      CallStore{token, call_request.purpose, std::move(call_request.request)});
}

/** Returns the daemons that may own hash slots, including this one. */
std::vector<Candidate> ChooseSlotOwners(const Node& node, Millis now) {
  std::vector<Candidate> candidates;
  if (node.drain.phase == DrainPhase::kServing)
    candidates.push_back({node.settings.self.id, node.membership.own_weight});
  for (const DaemonRef& peer :
       ReachablePeers(node.membership, node.settings.membership, now)) {
    const KnownDaemon& known = node.membership.daemons.at(peer.id);
    if (known.last_heartbeat.can_claim && !known.last_heartbeat.draining)
      candidates.push_back({peer.id, known.member.weight});
  }
  // Every daemon selects the same few owners by hash. With few owners, the
  // claims of many submissions share one store write.
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return StableHash("owner\n" + a.id.value) <
                     StableHash("owner\n" + b.id.value);
            });
  if (candidates.size() > node.settings.claims.max_owners)
    candidates.resize(node.settings.claims.max_owners);
  return candidates;
}

OwnershipContext MakeOwnershipContext(const Node& node, Millis now) {
  OwnershipContext context;
  context.is_gone = [&node, now](const DaemonRef& daemon) {
    return IsGone(node.membership, daemon, node.settings.membership, now);
  };
  context.preferred_owner =
      [&node, candidates = ChooseSlotOwners(node, now)](uint32_t slot) {
        if (candidates.empty())
          return node.settings.self.id;
        return ChooseByRendezvous(candidates, "slot" + std::to_string(slot)).id;
      };
  context.is_releasing_all =
      node.drain.phase == DrainPhase::kWritingSuccessorRecords;
  return context;
}

void HandleConfigurationReply(Node& node,
                              Millis now,
                              const StoreReply& reply,
                              Actions& actions) {
  node.is_configuration_call_open = false;
  if (reply.outcome != StoreOutcome::kDone || reply.items.empty())
    return;
  ApplyConfiguration(node, reply.items.front().value, actions);
  DispatchTasks(node, now, actions);
}

/** Records that a home has no successor record. The set is bounded because
 * callers can send ids with invented homes.
 */
void RecordMissingSuccessorRecord(Node& node, const DaemonRef& home) {
  constexpr size_t kMaxHomes = 10'000;
  if (node.homes_without_successor_record.size() >= kMaxHomes)
    node.homes_without_successor_record.clear();
  node.homes_without_successor_record.insert(home);
}

void HandleSuccessorRecordReply(Node& node,
                                Millis now,
                                const DaemonRef& home,
                                const StoreReply& reply,
                                Actions& actions) {
  const bool has_reply = reply.outcome == StoreOutcome::kDone;
  if (has_reply) {
    const Result<SuccessorRecord> record =
        reply.items.empty() ? Result<SuccessorRecord>(Error{})
                            : DecodeSuccessorRecord(reply.items.front().value);
    if (record.ok())
      node.successors[home] = record.value().successor;
    else
      RecordMissingSuccessorRecord(node, home);
  }
  ResumeSuccessorRecordWaiters(node, now, home, has_reply, actions);
}

void HandleStoreReply(Node& node,
                      Millis now,
                      const OpenStoreCall& call,
                      const StoreReply& reply,
                      Actions& actions) {
  switch (call.kind) {
    case StoreCallKind::kConfiguration:
      HandleConfigurationReply(node, now, reply, actions);
      return;
    case StoreCallKind::kJournal: {
      const ClaimResults results =
          HandleJournalReply(node.claims, reply, node.settings.claims, now);
      AdmitClaimed(node, now, results.claimed, actions);
      AbandonClaims(node, now, results.undecided, actions);
      return;
    }
    case StoreCallKind::kOwnership:
      node.is_ownership_call_open = false;
      HandleOwnershipReply(node.claims, reply, MakeOwnershipContext(node, now),
                           node.settings.claims, now);
      node.ledger.chosen_low_watermark =
          std::max(node.ledger.chosen_low_watermark, node.claims.low_watermark);
      return;
    case StoreCallKind::kReadSuccessorRecord:
      HandleSuccessorRecordReply(node, now, call.home, reply, actions);
      return;
    case StoreCallKind::kWriteSuccessorRecords:
      node.drain.is_successor_record_written =
          reply.outcome == StoreOutcome::kDone;
      return;
  }
}

/** Logs once that the store was restored to an older state. */
void LogRestoreOnce(Node& node,
                    const StoreReply& reply,
                    bool was_restored,
                    Actions& actions) {
  if (was_restored || !node.claims.is_store_restored)
    return;
  LogEvent event;
  event.name = "store_restored_to_older_state";
  event.fields = {
      {"revision", std::to_string(reply.revision)},
      {"revision_seen", std::to_string(node.claims.store_revision)}};
  actions.push_back(std::move(event));
}

}  // namespace

void SendDueStoreCalls(Node& node, Millis now, Actions& actions) {
  if (!node.is_configuration_call_open &&
      now >= node.next_configuration_read_at) {
    node.is_configuration_call_open = true;
    node.next_configuration_read_at = now + node.settings.configuration_period;
    SendStoreCall(
        node, StoreCallKind::kConfiguration,
        {StorePurpose::kConfiguration, StoreRead{kConfigurationKey, false}}, {},
        actions);
  }
  std::optional<StoreCallRequest> journal =
      NextJournalCall(node.claims, node.settings.claims, now);
  if (journal)
    SendStoreCall(node, StoreCallKind::kJournal, std::move(*journal), {},
                  actions);
  if (!node.is_ownership_call_open) {
    std::optional<StoreCallRequest> ownership =
        NextOwnershipCall(node.claims, node.settings.claims, now);
    if (ownership) {
      node.is_ownership_call_open = true;
      SendStoreCall(node, StoreCallKind::kOwnership, std::move(*ownership), {},
                    actions);
    }
  }
}

void ReadSuccessorRecord(Node& node, const DaemonRef& home, Actions& actions) {
  SendStoreCall(node, StoreCallKind::kReadSuccessorRecord,
                {StorePurpose::kSuccessorRecord,
                 StoreRead{SuccessorRecordKey(home), false}},
                home, actions);
}

void WriteSuccessorRecords(Node& node, Actions& actions) {
  StoreTransaction transaction;
  const std::string text = Encode(SuccessorRecord{node.drain.successor});
  transaction.puts.push_back({SuccessorRecordKey(node.settings.self), text});
  for (const DaemonRef& home : node.ledger.adopted_homes)
    transaction.puts.push_back({SuccessorRecordKey(home), text});
  SendStoreCall(node, StoreCallKind::kWriteSuccessorRecords,
                {StorePurpose::kSuccessorRecord, std::move(transaction)}, {},
                actions);
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
  const bool was_restored = node.claims.is_store_restored;
  // Claims and owners read from a restored store may be outdated and must not
  // be used.
  const bool is_usable =
      UpdateStoreRevision(node.claims, reply, call.known_revision);
  const bool is_claims_call = call.kind == StoreCallKind::kJournal ||
                              call.kind == StoreCallKind::kOwnership;
  LogRestoreOnce(node, reply, was_restored, actions);
  HandleStoreReply(node, now, call,
                   is_usable || !is_claims_call ? reply : StoreReply{},
                   actions);
  if (node.claims.needs_new_journal && node.claims.call == JournalCall::kNone) {
    node.claims.needs_new_journal = false;
    AbandonClaims(node, now, AbandonJournal(node.claims), actions);
  }
  SendDueStoreCalls(node, now, actions);
}

}  // namespace dogwoodfall
