#include "adapters/operators/fleet_state_dump.h"

#include <nlohmann/json.hpp>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;

Json DumpView(const FleetNode& node, Millis now) {
  Json members = Json::array();
  for (const auto& [id, member] : node.view.members) {
    Json row = {{"daemon", id.value},
                {"zone", member.address.zone.value},
                {"weight", member.address.weight},
                {"leaving", member.address.leaving},
                {"created_revision", member.created_revision}};
    const auto peer_status = node.peers.find(id);
    if (peer_status != node.peers.end())
      row["heard_ms_ago"] = (now - peer_status->second.last_received_at).count;
    members.push_back(std::move(row));
  }
  return {{"revision", node.view.revision}, {"members", members}};
}

Json DumpEvacuation(const FleetNode& node) {
  Json zones = Json::array();
  for (const auto& [zone, revision] : node.evacuation.zones)
    zones.push_back({{"zone", zone.value}, {"revision", revision}});
  return {{"revision", node.evacuation.revision}, {"zones", zones}};
}

Json DumpEndpoints(const Scheduler& scheduler, Millis now) {
  Json rows = Json::array();
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    rows.push_back({{"endpoint", id.value},
                    {"standing", static_cast<int>(endpoint.status)},
                    {"standing_for_ms", (now - endpoint.status_since).count},
                    {"token", endpoint.fencing_token},
                    {"runs", endpoint.runs.size()},
                    {"used_millicores", endpoint.used.cpu_millicores},
                    {"millicores", endpoint.entry.capacity.cpu_millicores},
                    {"draining", endpoint.entry.draining},
                    {"unanswered", endpoint.unanswered},
                    {"slowness", endpoint.slowness},
                    {"failure_share", endpoint.failure_share}});
  }
  return rows;
}

Json DumpJobs(const Scheduler& scheduler, Millis now) {
  Json rows = Json::array();
  for (const auto& [id, job] : scheduler.jobs) {
    rows.push_back({{"job", id.value},
                    {"route", job.job.route},
                    {"receiver", job.receiver.id.value},
                    {"age_ms", (now - job.received_at).count},
                    {"tasks_left", job.tasks_left},
                    {"tasks_queued", job.tasks_queued}});
  }
  return rows;
}

}  // namespace

std::string DumpFleetState(const FleetNode& node, Millis now) {
  const Json json = {{"daemon", node.self.id.value},
                     {"incarnation", node.self.incarnation.value},
                     {"zone", node.zone.value},
                     {"routes_version", node.routes.version},
                     {"store_reachable", node.store.is_reachable},
                     {"stopping", node.is_stopping},
                     {"evacuation", DumpEvacuation(node)},
                     {"view", DumpView(node, now)},
                     {"endpoints", DumpEndpoints(node.scheduler, now)},
                     {"jobs", DumpJobs(node.scheduler, now)}};
  return json.dump(-1, ' ', true, Json::error_handler_t::replace);
}

}  // namespace dogwoodfall
