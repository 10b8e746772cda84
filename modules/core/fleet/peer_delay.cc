#include "core/fleet/peer_delay.h"

#include <algorithm>

namespace dogwoodfall {
namespace {

/** Spans ten heartbeats, so that a period has a message of usual latency even
 * when some are lost.
 */
constexpr Millis kEstimationPeriod{1'000};

}  // namespace

Millis RecordDelay(PeerDelay& delay, Millis sent_at, Millis now) {
  const Millis difference = now - sent_at;
  if (!delay.is_known) {
    delay = {true, now, difference, difference};
  } else if (now - delay.period_started_at >= kEstimationPeriod) {
    delay = {true, now, difference, delay.min_of_period};
  } else {
    delay.min_of_period = std::min(delay.min_of_period, difference);
  }
  return difference -
         std::min(delay.min_of_period, delay.min_of_previous_period);
}

}  // namespace dogwoodfall
