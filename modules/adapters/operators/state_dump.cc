#include "adapters/operators/state_dump.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;

/** Max number of endpoints that a section lists; endpoint_count of the
 * membership section includes the others.
 */
constexpr size_t kMaxListedEndpoints = 200;

Json ToJson(const DaemonRef& daemon) {
  return {{"daemon", daemon.id.value},
          {"incarnation", daemon.incarnation.value}};
}

Json DumpMembership(const Node& node, Millis now) {
  Json daemons = Json::array();
  for (const auto& [id, info] : node.membership.daemons) {
    const DaemonRef ref{id, info.incarnation.value_or(Incarnation())};
    daemons.push_back(
        {{"id", id.value},
         {"zone", info.member.zone.value},
         {"listed", info.listed},
         {"incarnation", ref.incarnation.value},
         {"reachable",
          IsReachable(node.membership, ref, node.settings.membership, now)},
         {"silent_ms", (now - info.last_heartbeat_at).count},
         {"revision", info.last_heartbeat.revision},
         {"free_slots", info.last_heartbeat.free_slots},
         {"queued_tasks", info.last_heartbeat.queued_tasks},
         {"draining", info.last_heartbeat.draining}});
  }
  Json endpoints = Json::array();
  for (const auto& [id, info] : node.membership.endpoints) {
    if (endpoints.size() < kMaxListedEndpoints)
      endpoints.push_back({{"id", id.value},
                           {"zone", info.member.zone.value},
                           {"listed", info.listed},
                           {"leaving", info.leaving}});
  }
  return {{"list_age_ms", (now - node.membership.list_read_at).count},
          {"held_lists", node.membership.deferred_lists},
          {"daemons", daemons},
          {"endpoint_count", node.membership.endpoints.size()},
          {"endpoints", endpoints}};
}

Json DumpLedger(const Node& node) {
  return {{"records", node.ledger.records.size()},
          {"open", node.ledger.open_by_deadline.size()},
          {"ended", node.ledger.ended_by_id_timestamp.size()},
          {"answer_bytes", node.ledger.answer_bytes},
          {"minted", node.ledger.minted},
          {"adopted_homes", node.ledger.adopted_homes.size()},
          {"unmatched_reports", node.ledger.unmatched_reports}};
}

Json DumpClaims(const Node& node) {
  const ClaimRegistry& claims = node.claims;
  return {{"journal_open", claims.phase == JournalPhase::kOpen},
          {"journal_generation", claims.journal.generation},
          {"slots_served",
           std::count(claims.serving.begin(), claims.serving.end(), true)},
          {"slots", claims.serving.size()},
          {"waiting", claims.waiting.size()},
          {"in_flight", claims.in_flight.size()},
          {"inherited", claims.inherited.size()},
          {"table_revision", claims.table_revision},
          {"store_revision", claims.store_revision},
          {"store_restored", claims.is_store_restored},
          {"restores", claims.restores},
          {"floor_ms", claims.low_watermark.count}};
}

Json DumpDispatch(const Node& node, Millis now) {
  Json endpoints = Json::array();
  for (const auto& [id, endpoint] : node.dispatch.pool.endpoints) {
    if (endpoints.size() < kMaxListedEndpoints)
      endpoints.push_back({{"id", id.value},
                           {"outstanding", endpoint.outstanding},
                           {"slots", endpoint.member.slots},
                           {"slowness", endpoint.slowness},
                           {"ejected", endpoint.ejected_until > now},
                           {"probing", endpoint.is_probing},
                           {"leaving", endpoint.member.leaving}});
  }
  Json customers = Json::object();
  for (const auto& [id, plan] : node.configuration.customers) {
    customers[id.value] = {{"queued", SizeOf(node.dispatch.queue, id)},
                           {"running", CountRunning(node.dispatch, id)}};
  }
  return {{"queued", SizeOf(node.dispatch.queue)},
          {"running", node.dispatch.running.size()},
          {"free_slots", FreeSlots(node.dispatch.pool, now)},
          {"customers", customers},
          {"endpoints", endpoints},
          {"learned_kinds", node.dispatch.run_times.by_kind.size()}};
}

Json DumpCounters(const Node& node) {
  const NodeCounters& counters = node.counters;
  Json answers = Json::object();
  for (const auto& [code, count] : counters.answers)
    answers[std::string(RowOf(code).name)] = count;
  return {{"starts", counters.starts},
          {"task_batches", counters.task_batches},
          {"tasks_forwarded", counters.tasks_forwarded},
          {"requests_forwarded", counters.requests_forwarded},
          {"unmatched_endpoint_answers", counters.unmatched_endpoint_answers},
          {"unmatched_peer_answers", counters.unmatched_peer_answers},
          {"foreign_heartbeats", counters.non_member_heartbeats},
          {"wasted",
           {{"refused_starts", counters.waste.refused_starts},
            {"failed_connections", counters.waste.failed_connections},
            {"bounced_forwards", counters.waste.bounced_forwards},
            {"dropped_answers", counters.waste.dropped_answers},
            {"stops", counters.waste.stops}}},
          {"answers", answers}};
}

Json DumpPeers(const Node& node) {
  Json sessions = Json::array();
  for (const auto& [id, session] : node.sessions.sessions) {
    sessions.push_back({{"peer", ToJson(session.peer)},
                        {"sent", session.last_sent},
                        {"received", session.received_up_to},
                        {"unacknowledged", session.unacknowledged.size()}});
  }
  return {{"sessions", sessions},
          {"repeats", node.sessions.repeats},
          {"duplicates", node.sessions.duplicates},
          {"foreign", node.sessions.other_incarnation_frames},
          {"forwards", node.forwards.size()}};
}

}  // namespace

std::string DumpState(const Node& node, const std::string& module, Millis now) {
  Json state = {{"daemon", ToJson(node.settings.self)},
                {"zone", node.settings.zone.value},
                {"ready", IsReady(node)},
                {"configuration",
                 {{"revision", node.configuration.revision},
                  {"customers", node.configuration.customers.size()},
                  {"plans", node.configuration.plans.size()}}},
                {"membership", DumpMembership(node, now)},
                {"peers", DumpPeers(node)},
                {"ledger", DumpLedger(node)},
                {"claims", DumpClaims(node)},
                {"dispatch", DumpDispatch(node, now)},
                {"drain", {{"phase", static_cast<int>(node.drain.phase)}}},
                {"counters", DumpCounters(node)}};
  if (module.empty())
    return state.dump(2);
  return state.contains(module) ? state[module].dump(2) : "null";
}

}  // namespace dogwoodfall
