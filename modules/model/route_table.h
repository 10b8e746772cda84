#ifndef DOGWOODFALL_MODULES_MODEL_ROUTE_TABLE_H_
#define DOGWOODFALL_MODULES_MODEL_ROUTE_TABLE_H_

#include <cstdint>

#include <string>
#include <vector>

#include "base/millis.h"

namespace dogwoodfall {

/** Which pool runs the jobs of a host and path prefix, and how. */
struct JobRoute {
  std::string name;
  std::string host;
  /** Ends with a slash. */
  std::string prefix;
  std::string service;
  uint32_t priority = 0;
  uint32_t max_attempts = 1;
  double stretch = 1;
  Millis target_latency;
  /** Longest time a request may take. */
  Millis timeout;
};

/** One version of the routes in force. */
struct RouteTable {
  /** 0 while there is none. */
  uint64_t version = 0;
  std::vector<JobRoute> routes;
};

/** The route of a request with the longest prefix, or null. */
const JobRoute* FindJobRoute(const RouteTable& table,
                             const std::string& host,
                             const std::string& path);

/** Takes a newer version over.
 *
 * @return false, and nothing changes, when it is not newer
 */
bool ReplaceRoutesIfNewer(RouteTable& table, RouteTable newer);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ROUTE_TABLE_H_
