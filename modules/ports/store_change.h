#ifndef DOGWOODFALL_MODULES_PORTS_STORE_CHANGE_H_
#define DOGWOODFALL_MODULES_PORTS_STORE_CHANGE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "model/endpoint_entry.h"
#include "model/fleet_member.h"
#include "model/route_table.h"

namespace dogwoodfall {

/** An endpoint's item was added or changed. */
struct EndpointChanged {
  EndpointEntry entry;
};

/** An endpoint's item was removed or can't be parsed. */
struct EndpointRemoved {
  EndpointId id;
  uint64_t revision = 0;
};

/** A version of the routes was written. */
struct RoutesChanged {
  RouteTable routes;
};

/** A daemon's item was added or changed. */
struct MemberChanged {
  FleetMember member;
};

/** A daemon's item was removed, or its lease ended. */
struct MemberRemoved {
  DaemonId id;
  uint64_t revision = 0;
};

/** An operator requests the evacuation of a zone. */
struct EvacuationRequested {
  ZoneId zone;
  /** 0 if it can't be parsed. */
  uint64_t revision = 0;
  /** False if the value can't be parsed; the request holds all the same. */
  bool is_readable = true;
};

/** An operator has removed the request to evacuate a zone. */
struct EvacuationWithdrawn {
  ZoneId zone;
  /** 0 if it can't be parsed. */
  uint64_t revision = 0;
};

/** An item that can't be parsed and is ignored. */
struct UnreadableItem {
  std::string key;
};

/** A parsed change of an item in the platform's store. */
using StoreChange = std::variant<EndpointChanged,
                                 EndpointRemoved,
                                 RoutesChanged,
                                 MemberChanged,
                                 MemberRemoved,
                                 UnreadableItem,
                                 EvacuationRequested,
                                 EvacuationWithdrawn>;

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_STORE_CHANGE_H_
