#include "core/fleet/peer_delay.h"

#include <gtest/gtest.h>

namespace dogwoodfall {
namespace {

constexpr Millis kClockDifference{-70'000};

Millis NoteAt(PeerDelay& delay, int64_t sent, int64_t taken) {
  return RecordDelay(delay, Millis{sent} + kClockDifference,
                     Millis{sent + taken});
}

TEST(PeerDelayTest, OnlyWhatIsBeyondTheUsualIsLate) {
  PeerDelay delay;
  for (int64_t at = 0; at < 5'000; at += 100)
    EXPECT_LE(NoteAt(delay, at, 1 + at % 300 / 100), Millis{2});
  EXPECT_EQ(NoteAt(delay, 5'000, 701), Millis{700});
}

// A link that held everything back: what comes first is late all the same.
TEST(PeerDelayTest, AFirstMessageAfterSilenceIsComparedWithBefore) {
  PeerDelay delay;
  for (int64_t at = 0; at < 3'000; at += 100)
    NoteAt(delay, at, 1);
  EXPECT_EQ(NoteAt(delay, 3'000, 4'001), Millis{4'000});
}

// The peer's clock stood still for 3 s.
TEST(PeerDelayTest, AClockThatStoodStillIsLearnedAnew) {
  PeerDelay delay;
  for (int64_t at = 0; at < 3'000; at += 100)
    NoteAt(delay, at, 1);
  for (int64_t at = 3'000; at < 5'200; at += 100)
    NoteAt(delay, at, 3'001);
  EXPECT_EQ(NoteAt(delay, 5'200, 3'001), Millis());
}

}  // namespace
}  // namespace dogwoodfall
