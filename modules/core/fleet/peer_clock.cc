#include "core/fleet/peer_clock.h"

namespace dogwoodfall {
namespace {

/** Clocks are read in whole milliseconds. */
constexpr Millis kClockResolution{1};
/** Time in which two clocks drift apart by a millisecond at most. */
constexpr Millis kTimePerMillisOfDrift{1'000};

Millis ComputeMinDifference(Millis difference, Millis measured_at, Millis now) {
  return difference -
         Millis{(now - measured_at).count / kTimePerMillisOfDrift.count};
}

}  // namespace

void RecordRoundTrip(PeerClock& clock,
                     Millis request_sent_at,
                     Millis answer_sent_at,
                     Millis now) {
  const Millis difference = request_sent_at - answer_sent_at - kClockResolution;
  const bool is_lower =
      clock.min_difference &&
      ComputeMinDifference(difference, request_sent_at, now) <
          ComputeMinDifference(*clock.min_difference, clock.measured_at, now);
  if (!is_lower)
    clock = {difference, request_sent_at};
}

std::optional<Millis> ComputeMaxAge(PeerClock& clock,
                                    Millis sent_at,
                                    Millis now) {
  if (!clock.min_difference)
    return std::nullopt;
  const Millis age =
      now - sent_at -
      ComputeMinDifference(*clock.min_difference, clock.measured_at, now);
  if (age >= Millis())
    return age;
  clock.min_difference.reset();
  return std::nullopt;
}

}  // namespace dogwoodfall
