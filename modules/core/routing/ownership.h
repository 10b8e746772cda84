#ifndef DOGWOODFALL_MODULES_CORE_ROUTING_OWNERSHIP_H_
#define DOGWOODFALL_MODULES_CORE_ROUTING_OWNERSHIP_H_

#include <vector>

#include "base/millis.h"
#include "core/membership/membership.h"
#include "core/routing/rendezvous.h"
#include "model/endpoint_member.h"

namespace dogwoodfall {

/** The daemons of this zone that may own endpoints: those that are reachable
 * and not draining; all reachable ones when every one is draining.
 */
std::vector<Candidate> EndpointOwners(const Membership& membership,
                                      bool self_draining,
                                      const MembershipTimeouts& times,
                                      Millis now);

/** The endpoints whose slots this daemon is to fill. */
std::vector<EndpointMember> OwnedEndpoints(const Membership& membership,
                                           bool self_draining,
                                           const MembershipTimeouts& times,
                                           Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_ROUTING_OWNERSHIP_H_
