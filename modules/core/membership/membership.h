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

/** Times of membership. */
struct MembershipTimeouts {
  /** Silence after which a daemon counts as unreachable. */
  Millis unreachable_after{1'500};
  /** Silence after which a daemon that the list no longer has is gone. */
  Millis gone_after{3'000};
  /** Age of a daemon that the list need not have yet. */
  Millis max_list_lag{30'000};
  /** How long a list that shrank to less than half is not believed. */
  Millis shrink_hold{60'000};
};

/** Another daemon. */
struct KnownDaemon {
  DaemonMember member;
  /** True when the newest list has it. */
  bool listed = true;
  /** The process life heard last; none before the first heartbeat. */
  std::optional<Incarnation> incarnation;
  Millis last_heartbeat_at;
  Heartbeat latest;
  /** Tasks sent to it since its latest heartbeat. */
  uint32_t sent_since = 0;
};

/** An endpoint of any zone. */
struct KnownEndpoint {
  EndpointMember member;
  bool listed = true;
  /** True once the list, a peer or the endpoint itself said so. */
  bool leaving = false;
};

/** What this daemon knows of the others and of the endpoints: the platform's
 * lagging list, corrected by what is seen.
 */
struct Membership {
  DaemonRef self;
  ZoneId zone;
  uint32_t own_weight = 1;
  std::map<DaemonId, KnownDaemon> daemons;
  std::map<EndpointId, KnownEndpoint> endpoints;
  /** Process lives known to have ended. */
  std::set<DaemonRef> ended;
  /** When the platform's list was read last; 0 before the first time. */
  Millis list_read_at;
  /** When the endpoints of the list first fell below half, or none. */
  std::optional<Millis> shrunk_since;
  /** Lists that were held back because they had shrunk. */
  uint64_t held_lists = 0;
};

/** Takes over a list that was read now. */
void ApplyList(Membership& membership,
               const InstanceList& list,
               const MembershipTimeouts& times,
               Millis now);

/** What a heartbeat was. */
enum class HeartbeatEffect : uint8_t {
  /** From a daemon that is not a member; dropped. */
  kForeign = 0,
  /** Older than one that was heard before; dropped. */
  kOld = 1,
  /** From a process life that was declared ended and goes on. */
  kEnded = 4,
  /** From the known process life. */
  kKnown = 2,
  /** From a process life heard for the first time. */
  kNewLife = 3,
};

/** Takes over a heartbeat that was received now.
 *
 * @param replaced set to the former process life when there was one
 */
HeartbeatEffect ApplyHeartbeat(Membership& membership,
                               const Heartbeat& heartbeat,
                               Millis now,
                               std::optional<DaemonRef>& replaced);

/** Marks an endpoint as leaving. Returns true when that was news. */
bool MarkLeaving(Membership& membership, const EndpointId& endpoint);

/** True when this process life was heard a short while ago. */
bool IsReachable(const Membership& membership,
                 const DaemonRef& daemon,
                 const MembershipTimeouts& times,
                 Millis now);

/** True when this process life can never be heard again: a later life of the
 * same daemon was heard, or the platform's list dropped it and it is silent, or
 * the list never had it although it began long enough ago.
 */
bool IsGone(const Membership& membership,
            const DaemonRef& daemon,
            const MembershipTimeouts& times,
            Millis now);

/** The reachable daemons but this one, in the order of their ids. */
std::vector<DaemonRef> ReachablePeers(const Membership& membership,
                                      const MembershipTimeouts& times,
                                      Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_MEMBERSHIP_MEMBERSHIP_H_
