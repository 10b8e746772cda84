#include "core/fleet/endpoint_speed_flow.h"

#include <map>
#include <utility>

#include "core/fleet/ownership_flow.h"
#include "core/scheduling/endpoint_kinds.h"

namespace dogwoodfall {

void SendEndpointSpeeds(FleetNode& node,
                        const std::vector<EndpointId>& endpoints,
                        Millis now,
                        Actions& actions) {
  if (!node.scheduler.options.endpoint_kinds)
    return;
  std::map<DaemonRef, EndpointSpeedsNotice> notices;
  for (const EndpointId& id : endpoints) {
    const ManagedEndpoint& endpoint = node.scheduler.endpoints.at(id);
    const FleetMember* owner = OtherOwnerOf(node, endpoint.group);
    if (owner == nullptr || endpoint.observed_runs == 0)
      continue;
    std::vector<EndpointSpeed>& speeds = notices[RefOf(*owner)].speeds;
    if (speeds.size() < kMaxSpeedsPerNotice)
      speeds.push_back(MakeEndpointSpeed(endpoint));
  }
  for (auto& [owner, notice] : notices) {
    actions.push_back(
        LogEvent{"endpoint_speeds_sent",
                 {{"to", owner.id.value},
                  {"endpoints", std::to_string(notice.speeds.size())}}});
    Send(node.sessions, owner, std::move(notice), SessionLimits(), now,
         actions);
  }
}

void ApplyKindReports(FleetNode& node,
                      const Heartbeat& heartbeat,
                      Actions& actions) {
  if (heartbeat.kind_speeds.empty())
    return;
  std::vector<const std::vector<KindSpeed>*> reports;
  for (const auto& [id, peer_status] : node.peers)
    reports.push_back(&peer_status.last_heartbeat.kind_speeds);
  SetReportedKinds(node.scheduler, reports, actions);
}

}  // namespace dogwoodfall
