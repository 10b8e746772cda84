#ifndef DOGWOODFALL_MODULES_CORE_FLEET_PEER_CLOCK_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_PEER_CLOCK_H_

#include <optional>

#include "base/millis.h"

namespace dogwoodfall {

/** A bound on the difference between this daemon's clock and a peer's.
 *
 * The delay of a single message can't be measured, and a link that has been
 * slow for a while can't be told from one that always is. A round trip gives a
 * bound without an assumption on latencies: an answer was sent after the
 * message that it answers, so the clocks differ by no less than these two
 * times. The highest bound is kept, less what the clocks may have drifted
 * since.
 */
struct PeerClock {
  /** This daemon's clock minus the peer's is at least this; none before the
   * first round trip.
   */
  std::optional<Millis> min_difference;
  /** When the message was sent that began this round trip. */
  Millis measured_at;
};

/** Records a round trip.
 *
 * @param request_sent_at on this daemon's clock
 * @param answer_sent_at  on the peer's clock
 * @param now             on this daemon's clock
 */
void RecordRoundTrip(PeerClock& clock,
                     Millis request_sent_at,
                     Millis answer_sent_at,
                     Millis now);

/** Returns the maximum time since a message was sent; none while it is not
 * known. A message that seems to come from the future shows that a clock has
 * stood still, so the bound is dropped.
 *
 * @param sent_at on the peer's clock
 * @param now     on this daemon's clock
 */
std::optional<Millis> ComputeMaxAge(PeerClock& clock,
                                    Millis sent_at,
                                    Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_PEER_CLOCK_H_
