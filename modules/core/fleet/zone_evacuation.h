#ifndef DOGWOODFALL_MODULES_CORE_FLEET_ZONE_EVACUATION_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_ZONE_EVACUATION_H_

#include <cstdint>
#include <vector>

#include "core/fleet/store_session.h"
#include "model/evacuation_state.h"
#include "model/peer_message.h"

namespace dogwoodfall {

/** Applies a list or changes of the operators' items. Changes that the state
 * contains already, from a peer or an earlier answer, are ignored.
 *
 * @return true when the state has changed
 */
bool ApplyEvacuationUpdate(EvacuationState& state, const StoreUpdate& update);

/** Replaces the state by the one that a peer has sent, if that is newer. A
 * revision that the own state lacks isn't proof of this: its change may have
 * been superseded before this daemon read its list.
 *
 * @param followed_to revision up to which the store's changes were received and
 *        applied to the state; 0 if there was no list yet
 * @return true when the state was replaced
 */
bool ApplyEvacuationNotice(EvacuationState& state,
                           const EvacuationNotice& notice,
                           uint64_t followed_to);

/** Returns the message that contains the state. */
EvacuationNotice MakeEvacuationNotice(const EvacuationState& state);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_ZONE_EVACUATION_H_
