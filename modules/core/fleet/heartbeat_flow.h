#ifndef DOGWOODFALL_MODULES_CORE_FLEET_HEARTBEAT_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_HEARTBEAT_FLOW_H_

#include <vector>

#include "base/millis.h"
#include "core/fleet/fleet_node.h"
#include "ports/action.h"

namespace dogwoodfall {

/** Period of heartbeats within a zone. Several must be missed before another
 * daemon takes ownership of a peer's endpoints.
 */
inline constexpr Millis kHeartbeatPeriod{100};
/** Period of heartbeats between owners in different zones, and between owners
 * and the receivers of their zone.
 */
inline constexpr Millis kSlowHeartbeatPeriod{200};

/** Returns the time without a message after which a peer counts as unreachable,
 * by the period of its heartbeats. Several may be lost.
 */
Millis GetPeerTimeout(Millis heartbeat_period);

/** Returns the period at which one daemon sends heartbeats to another one, or
 * zero when it sends none.
 *
 * In a small fleet every daemon sends to every other one. In a larger one, the
 * number of messages must not grow with the square of the number of daemons:
 * the daemons of a zone exchange heartbeats with the owners of its groups and
 * their next replacements, which detect each other's failure and that of the
 * zone's receivers, and the owners of all zones exchange their loads and jobs.
 */
Millis GetHeartbeatPeriod(const FleetView& view,
                          const FleetMember& from,
                          const FleetMember& to);

/** Sends the heartbeats that are due. */
void SendHeartbeats(FleetNode& node, Millis now, Actions& actions);

/** Sends a heartbeat to the given daemons at once. */
void SendHeartbeatTo(FleetNode& node,
                     const std::vector<DaemonId>& to,
                     Millis now,
                     Actions& actions);

/** Updates from which peers heartbeats are expected. A peer from which they
 * were not expected before counts as heard now.
 */
void UpdateExpectedHeartbeats(FleetNode& node, Millis now);

/** Records how late a heartbeat or an answer to one has been read. Drops the
 * bound on the clocks' difference that it disproves (peer_clock.h).
 */
void RecordHeartbeatAge(PeerStatus& peer_status,
                        const Heartbeat& heartbeat,
                        Millis now);

/** Returns by how much this daemon reads what it is sent late: the least age of
 * the heartbeats read last. Zero when none was read for a while.
 */
Millis EstimateReadingDelay(const FleetNode& node, Millis now);

/** Returns the time at which a daemon was certainly alive last, as far as this
 * one can know: the present when it sends this one no heartbeats.
 */
Millis GetLastKnownAlive(const FleetNode& node,
                         const DaemonRef& daemon,
                         Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_HEARTBEAT_FLOW_H_
