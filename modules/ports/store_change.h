#ifndef DOGWOODFALL_MODULES_PORTS_STORE_CHANGE_H_
#define DOGWOODFALL_MODULES_PORTS_STORE_CHANGE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "model/endpoint_entry.h"
#include "model/fleet_member.h"
#include "model/route_table.h"

namespace dogwoodfall {

/** An endpoint appeared or says something new of itself. */
struct EndpointChanged {
  EndpointEntry entry;
};

/** An endpoint's item was removed, or can't be read. */
struct EndpointRemoved {
  EndpointId id;
};

/** A version of the routes. */
struct RoutesChanged {
  RouteTable routes;
};

/** A daemon joined or changed what it says of itself. */
struct MemberChanged {
  FleetMember member;
};

/** A daemon's item was removed or its lease ended. */
struct MemberRemoved {
  DaemonId id;
  uint64_t revision = 0;
};

/** An item that can't be read; nothing follows from it. */
struct UnreadableItem {
  std::string key;
};

/** What an item of the platform's store means. */
using StoreChange = std::variant<EndpointChanged,
                                 EndpointRemoved,
                                 RoutesChanged,
                                 MemberChanged,
                                 MemberRemoved,
                                 UnreadableItem>;

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_STORE_CHANGE_H_
