#include "core/scheduling/run_projection.h"

#include <algorithm>
#include <cmath>

#include "core/scheduling/speed_learning.h"

namespace dogwoodfall {
namespace {

/** Time to the end of a run that is being stopped or that has exceeded its
 * projection: a round trip to the endpoint and its processing.
 */
constexpr Millis kImminentEnd{6};

}  // namespace

Millis ProjectRunEnd(const ManagedEndpoint& endpoint,
                     const Run& run,
                     Millis now) {
  if (run.state == RunState::kStopping)
    return now + kImminentEnd;
  const double run_time_ms =
      run.percent >= kMinProjectionPercent
          ? ProjectRunTime(run)
          : endpoint.slowness *
                static_cast<double>(run.expected_run_time.count);
  return std::max(run.start_sent_at + Millis{std::llround(run_time_ms)},
                  now + kImminentEnd);
}

std::vector<ProjectedEnd> ProjectRunEnds(const ManagedEndpoint& endpoint,
                                         Millis now) {
  std::vector<ProjectedEnd> ends;
  ends.reserve(endpoint.runs.size());
  for (const auto& [key, run] : endpoint.runs)
    ends.push_back({ProjectRunEnd(endpoint, run, now), run.resources});
  std::sort(
      ends.begin(), ends.end(),
      [](const ProjectedEnd& a, const ProjectedEnd& b) { return a.at < b.at; });
  return ends;
}

}  // namespace dogwoodfall
