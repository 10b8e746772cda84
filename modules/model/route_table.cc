#include "model/route_table.h"

#include <utility>

namespace dogwoodfall {

const JobRoute* FindJobRoute(const RouteTable& table,
                             const std::string& host,
                             const std::string& path) {
  const JobRoute* best = nullptr;
  for (const JobRoute& route : table.routes) {
    if (route.host != host ||
        path.compare(0, route.prefix.size(), route.prefix) != 0)
      continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size())
      best = &route;
  }
  return best;
}

bool ReplaceRoutesIfNewer(RouteTable& table, RouteTable newer) {
  if (newer.version <= table.version)
    return false;
  table = std::move(newer);
  return true;
}

}  // namespace dogwoodfall
