#ifndef DOGWOODFALL_MODULES_CORE_FLEET_EVACUATION_COUNTERS_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_EVACUATION_COUNTERS_H_

#include <cstdint>

namespace dogwoodfall {

/** Counters of the effects of evacuations since the start of the daemon. */
struct EvacuationCounters {
  /** Jobs that a receiver has assigned to a group of another zone. */
  uint64_t assigned_elsewhere = 0;
  /** Jobs that a scheduler has moved to a group of another zone. */
  uint64_t moved = 0;
  /** Jobs that were refused. */
  uint64_t refused = 0;
  /** Jobs that were ended after some of their tasks had started. */
  uint64_t abandoned = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_EVACUATION_COUNTERS_H_
