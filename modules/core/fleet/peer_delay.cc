#include "core/fleet/peer_delay.h"

#include <algorithm>

namespace dogwoodfall {
namespace {

/** Ten heartbeats: the least of them is a usual one, also while some are lost.
 */
constexpr Millis kPeriod{1'000};

}  // namespace

Millis NoteDelay(PeerDelay& delay, Millis sent_at, Millis now) {
  const Millis taken = now - sent_at;
  if (!delay.is_known) {
    delay = {true, now, taken, taken};
  } else if (now - delay.period_began >= kPeriod) {
    delay = {true, now, taken, delay.least_now};
  } else {
    delay.least_now = std::min(delay.least_now, taken);
  }
  return taken - std::min(delay.least_now, delay.least_before);
}

}  // namespace dogwoodfall
