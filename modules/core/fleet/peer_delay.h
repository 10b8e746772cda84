#ifndef DOGWOODFALL_MODULES_CORE_FLEET_PEER_DELAY_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_PEER_DELAY_H_

#include "base/millis.h"

namespace dogwoodfall {

/** How long a peer's messages take beyond the usual.
 *
 * The clocks of two processes can't be compared, but the least difference
 * between arrival and sending is that of the clocks and the usual way. It is
 * kept for this and the former period, so that a clock that has stood still, as
 * on a suspended instance, is learned anew within two periods.
 */
struct PeerDelay {
  bool is_known = false;
  Millis period_began;
  Millis least_now;
  Millis least_before;
};

/** Notes a message and tells by how much it is late.
 *
 * @param sent_at on the sender's clock
 * @param now     on this daemon's clock
 */
Millis NoteDelay(PeerDelay& delay, Millis sent_at, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_PEER_DELAY_H_
