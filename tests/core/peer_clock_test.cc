#include "core/fleet/peer_clock.h"

#include <gtest/gtest.h>

namespace dogwoodfall {
namespace {

constexpr Millis kOffset{-70'000};

/** Records a round trip that begins at a time on the own clock. */
void RecordAt(PeerClock& clock,
              int64_t at,
              int64_t latency,
              int64_t answer_latency) {
  RecordRoundTrip(clock, Millis{at}, Millis{at + latency} + kOffset,
                  Millis{at + latency + answer_latency});
}

std::optional<Millis> MaxAge(PeerClock& clock, int64_t sent_at, int64_t now) {
  return ComputeMaxAge(clock, Millis{sent_at} + kOffset, Millis{now});
}

TEST(PeerClockTest, AgeIsUnknownBeforeTheFirstRoundTrip) {
  PeerClock clock;
  EXPECT_EQ(MaxAge(clock, 100, 102), std::nullopt);
}

// An estimate from one-way delays takes the slowness for the usual latency.
TEST(PeerClockTest, AgeOfMessagesOfASlowPeerIsNoLessThanTheirDelay) {
  for (const int64_t latency : {0, 1, 40, 400, 2'000}) {
    PeerClock clock;
    for (int64_t at = 0; at < 10'000; at += 1'000)
      RecordAt(clock, at, latency, latency);
    const std::optional<Millis> age = MaxAge(clock, 10'000, 10'000 + latency);
    ASSERT_TRUE(age.has_value());
    EXPECT_GE(*age, Millis{latency});
  }
}

TEST(PeerClockTest, FastRoundTripBoundsLaterMessagesOfASlowPeer) {
  constexpr int64_t kSlowFor = 60'000;
  constexpr Millis kDriftAndResolution{62};
  PeerClock clock;
  RecordAt(clock, 0, 1, 1);
  for (int64_t at = 1'000; at < kSlowFor; at += 1'000)
    RecordAt(clock, at, 400, 400);
  const std::optional<Millis> age = MaxAge(clock, kSlowFor, kSlowFor + 400);
  ASSERT_TRUE(age.has_value());
  EXPECT_GE(*age, Millis{400});
  EXPECT_LE(*age, Millis{400} + kDriftAndResolution);
}

TEST(PeerClockTest, MessageFromTheFutureDropsTheBound) {
  PeerClock clock;
  RecordAt(clock, 10'000, 1, 1);
  ASSERT_TRUE(MaxAge(clock, 10'100, 10'101).has_value());
  EXPECT_EQ(MaxAge(clock, 13'000, 11'000), std::nullopt);
  EXPECT_EQ(MaxAge(clock, 10'100, 11'000), std::nullopt);
}

}  // namespace
}  // namespace dogwoodfall
