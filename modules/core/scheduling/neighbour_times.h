#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_NEIGHBOUR_TIMES_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_NEIGHBOUR_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/millis.h"

namespace dogwoodfall {

/** Maximum number of kinds of tasks whose interference is learned. */
inline constexpr size_t kMaxInterferenceKinds = 32;
/** Number of the kinds, with kOtherKinds. */
inline constexpr size_t kInterferenceKindCount = kMaxInterferenceKinds + 1;
/** Stands for all kinds that are not learned, and for runs of unknown kind. */
inline constexpr uint8_t kOtherKinds = 0;

/** What a run has been counted as in the NeighbourTimes of its endpoint. */
struct RunNeighbours {
  /** False while the run is not counted there. */
  bool is_counted = false;
  uint8_t kind = kOtherKinds;
  int64_t millicores = 0;
  /** Values of the endpoint at the start of the run: by kind the time with a
   * neighbour of it, then the time with any neighbour; in ms, modulo 2^32.
   */
  std::vector<uint32_t> ms_at_start;
  int64_t millicore_ms_at_start = 0;
};

/** For how long runs of each kind were on an endpoint. The time that a run has
 * had neighbours of a kind is the difference between two readings, so that the
 * work for a run does not depend on the number of its neighbours.
 */
struct NeighbourTimes {
  struct Presence {
    uint32_t runs = 0;
    /** Time with at least one run, and with at least two; modulo 2^32. */
    uint32_t any_ms = 0;
    uint32_t several_ms = 0;
  };

  Millis updated_at;
  /** By kind, then all runs; empty until a run is counted. */
  std::vector<Presence> presences;
  /** The kinds of the runs on the endpoint, a bit each. */
  uint64_t kinds_present = 0;
  /** Processors of the runs, and their integral over time. */
  int64_t millicores = 0;
  int64_t millicore_ms = 0;
  /** Runs that have succeeded since the endpoint was taken over or restarted.
   */
  uint32_t successes = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_NEIGHBOUR_TIMES_H_
