#ifndef DOGWOODFALL_MODULES_MODEL_EVACUATION_STATE_H_
#define DOGWOODFALL_MODULES_MODEL_EVACUATION_STATE_H_

#include <cstdint>
#include <map>

#include "base/ids.h"

namespace dogwoodfall {

/** The zones that operators have evacuated, as of one revision of the store.
 * Nothing is started on the endpoints of an evacuated zone.
 */
struct EvacuationState {
  /** Revision of a state that was read while there were no requests. The same
   * for all daemons, so that they don't send it to each other.
   */
  static constexpr uint64_t kNoRequests = 1;

  /** Revision of the latest change of the requests. All earlier changes are
   * contained; 0 while the requests are not known.
   */
  uint64_t revision = 0;
  /** Evacuated zones, with the revision of the request. */
  std::map<ZoneId, uint64_t> zones;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_EVACUATION_STATE_H_
