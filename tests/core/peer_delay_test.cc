#include "core/fleet/peer_delay.h"

#include <gtest/gtest.h>

namespace dogwoodfall {
namespace {

constexpr Millis kClockOffset{-70'000};

Millis RecordAt(PeerDelay& delay, int64_t sent_at, int64_t latency) {
  return RecordDelay(delay, Millis{sent_at} + kClockOffset,
                     Millis{sent_at + latency});
}

// The clocks of the two processes differ by 70 s. Neither this offset nor the
// usual latency may count as delay, or every submission would be sent back.
TEST(PeerDelayTest, OnlyTimeBeyondTheUsualLatencyCountsAsDelay) {
  PeerDelay delay;
  for (int64_t at = 0; at < 5'000; at += 100)
    EXPECT_LE(RecordAt(delay, at, 1 + at % 300 / 100), Millis{2});
  EXPECT_EQ(RecordAt(delay, 5'000, 701), Millis{700});
}

// When a link has held all messages back for longer than a period, the first
// one to arrive must not count as being of usual latency.
TEST(PeerDelayTest, FirstMessageAfterAPauseIsComparedWithEarlierOnes) {
  PeerDelay delay;
  for (int64_t at = 0; at < 3'000; at += 100)
    RecordAt(delay, at, 1);
  EXPECT_EQ(RecordAt(delay, 3'000, 4'001), Millis{4'000});
}

// After the peer's clock has stopped for 3 s, all its messages seem delayed
// until the clock offset has been estimated again. Without a new estimate, its
// submissions would be sent back for good.
TEST(PeerDelayTest, EstimateRecoversAfterTheClockHasStopped) {
  PeerDelay delay;
  for (int64_t at = 0; at < 3'000; at += 100)
    RecordAt(delay, at, 1);
  for (int64_t at = 3'000; at < 5'200; at += 100)
    RecordAt(delay, at, 3'001);
  EXPECT_EQ(RecordAt(delay, 5'200, 3'001), Millis());
}

}  // namespace
}  // namespace dogwoodfall
