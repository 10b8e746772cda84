#ifndef DOGWOODFALL_MODULES_CORE_ROUTING_OWNERSHIP_H_
#define DOGWOODFALL_MODULES_CORE_ROUTING_OWNERSHIP_H_

#include <vector>

#include "base/millis.h"
#include "core/membership/membership.h"
#include "core/routing/rendezvous.h"
#include "model/endpoint_member.h"

namespace dogwoodfall {

/** Returns the daemons of this zone that may own endpoints: the reachable ones
 * that are not draining, or all reachable ones when every one is draining.
 */
std::vector<Candidate> EndpointOwners(const Membership& membership,
                                      bool is_self_draining,
                                      const MembershipTimeouts& timeouts,
                                      Millis now);

/** Returns the endpoints that this daemon owns. Only it dispatches tasks to
 * their slots.
 */
std::vector<EndpointMember> OwnedEndpoints(const Membership& membership,
                                           bool is_self_draining,
                                           const MembershipTimeouts& timeouts,
                                           Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_ROUTING_OWNERSHIP_H_
