#ifndef DOGWOODFALL_MODULES_MODEL_ROUTE_TABLE_H_
#define DOGWOODFALL_MODULES_MODEL_ROUTE_TABLE_H_

#include <cstdint>

#include <string>
#include <vector>

#include "base/millis.h"

namespace dogwoodfall {

/** Selects the pool that runs the jobs of a host and path prefix, and the
 * parameters of these jobs.
 *
 * @see TransientJob for priority, max_attempts, stretch and target_latency
 */
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
  /** Maximum duration of a request. */
  Millis timeout;
};

/** The routes at one version. */
struct RouteTable {
  /** 0 means that there are no routes yet. */
  uint64_t version = 0;
  std::vector<JobRoute> routes;
};

/** Returns the matching route with the longest prefix, or null. */
const JobRoute* FindJobRoute(const RouteTable& table,
                             const std::string& host,
                             const std::string& path);

/** Replaces the table if the other one has a higher version.
 *
 * @return false if it has not; the table is then unchanged
 */
bool ReplaceRoutesIfNewer(RouteTable& table, RouteTable newer);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_ROUTE_TABLE_H_
