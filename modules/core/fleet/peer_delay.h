#ifndef DOGWOODFALL_MODULES_CORE_FLEET_PEER_DELAY_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_PEER_DELAY_H_

#include "base/millis.h"

namespace dogwoodfall {

/** Estimates by how much a peer's messages exceed the usual network latency.
 *
 * The clocks of two processes can't be compared directly, but the minimum
 * difference between reception and sending times equals the clock offset plus
 * the usual one-way latency. The minimum is kept for the current and the
 * previous period, so that the estimate recovers within two periods after a
 * clock has stopped for a while, as on a suspended instance.
 */
struct PeerDelay {
  bool is_known = false;
  Millis period_started_at;
  Millis min_of_period;
  Millis min_of_previous_period;
};

/** Records a message and returns its delay beyond the usual latency.
 *
 * @param sent_at on the sender's clock
 * @param now     on this daemon's clock
 */
Millis RecordDelay(PeerDelay& delay, Millis sent_at, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_PEER_DELAY_H_
