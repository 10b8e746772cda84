#ifndef DOGWOODFALL_MODULES_CORE_MEMBERSHIP_MEMBERSHIP_H_
#define DOGWOODFALL_MODULES_CORE_MEMBERSHIP_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/daemon_member.h"
#include "model/daemon_ref.h"
#include "model/endpoint_member.h"
#include "model/heartbeat.h"
#include "model/instance_list.h"

namespace dogwoodfall {

/** Time limits that decide which daemons and endpoints are members. */
struct MembershipTimeouts {
  /** Time without a heartbeat after which a daemon counts as unreachable. */
  Millis unreachable_after{1'500};
  /** Time without a heartbeat after which a daemon that is no longer in the
   * platform's list counts as gone.
   */
  Millis gone_after{3'000};
  /** Age up to which a daemon may be missing from the platform's list, since
   * the list is updated with a delay.
   */
  Millis max_list_lag{30'000};
  /** Time for which removals are deferred when a list has less than half of
   * the endpoints known before. Such a list may be incomplete.
   */
  Millis shrink_hold{60'000};
};

/** State of another daemon. */
struct KnownDaemon {
  DaemonMember member;
  /** True if the most recent instance list contains the daemon. */
  bool listed = true;
  /** Incarnation of the last heartbeat; not set before the first one. */
  std::optional<Incarnation> incarnation;
  Millis last_heartbeat_at;
  Heartbeat last_heartbeat;
  /** Tasks forwarded to the daemon since its last heartbeat. */
  uint32_t tasks_sent_since_heartbeat = 0;
};

/** State of an endpoint of any zone. */
struct KnownEndpoint {
  EndpointMember member;
  bool listed = true;
  /** True once the list, a peer or the endpoint itself has reported that the
   * endpoint is leaving.
   */
  bool leaving = false;
};

/** The other daemons and the endpoints as known to this daemon: the platform's
 * instance list, which lags, corrected by heartbeats and endpoint answers.
 */
struct Membership {
  DaemonRef self;
  ZoneId zone;
  uint32_t own_weight = 1;
  std::map<DaemonId, KnownDaemon> daemons;
  std::map<EndpointId, KnownEndpoint> endpoints;
  /** Incarnations known to have ended. */
  std::set<DaemonRef> ended;
  /** Time of the last read of the platform's list; 0 before the first one. */
  Millis list_read_at;
  /** Time at which the list first had less than half of the endpoints; not set
   * while it has enough.
   */
  std::optional<Millis> shrunk_since;
  /** Lists whose removals were deferred because the list had shrunk. */
  uint64_t deferred_lists = 0;
};

/** Applies an instance list that was read at `now`. */
void ApplyInstanceList(Membership& membership,
                       const InstanceList& list,
                       const MembershipTimeouts& timeouts,
                       Millis now);

/** Result of applying a heartbeat. */
enum class HeartbeatEffect : uint8_t {
  /** The sender is not a member; dropped. */
  kNonMember = 0,
  /** Older than a heartbeat that was already received; dropped. */
  kStale = 1,
  /** The sender was declared ended but is still running; dropped. */
  kEnded = 4,
  /** The sender is the known incarnation of its daemon. */
  kSameIncarnation = 2,
  /** First heartbeat of an incarnation. */
  kNewIncarnation = 3,
};

/** Applies a heartbeat that was received at `now`.
 *
 * @param replaced set to the previous incarnation of the sender if the
 *        heartbeat is the first of a new one
 */
HeartbeatEffect ApplyHeartbeat(Membership& membership,
                               const Heartbeat& heartbeat,
                               Millis now,
                               std::optional<DaemonRef>& replaced);

/** Marks an endpoint as leaving. Returns true if it was not marked before. */
bool MarkLeaving(Membership& membership, const EndpointId& endpoint);

/** Returns true if a heartbeat of this incarnation arrived within
 * unreachable_after.
 */
bool IsReachable(const Membership& membership,
                 const DaemonRef& daemon,
                 const MembershipTimeouts& timeouts,
                 Millis now);

/** Returns true if this incarnation has ended for good. That holds when it was
 * declared ended, when a later incarnation of the daemon is known, when the
 * daemon is no longer in the platform's list and has sent no heartbeat for
 * gone_after, or when the daemon was never in the list although the incarnation
 * started more than max_list_lag before the last read of the list.
 */
bool IsGone(const Membership& membership,
            const DaemonRef& daemon,
            const MembershipTimeouts& timeouts,
            Millis now);

/** Returns the reachable daemons except this one, ordered by id. */
std::vector<DaemonRef> ReachablePeers(const Membership& membership,
                                      const MembershipTimeouts& timeouts,
                                      Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_MEMBERSHIP_MEMBERSHIP_H_
