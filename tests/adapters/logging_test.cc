#include "adapters/logging/logging.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

#include "adapters/logging/log_limit.h"

namespace dogwoodfall {
namespace {

TEST(LogLimitTest, ABurstIsWrittenAndThenTheRate) {
  LogLimit limit;
  const Millis now{1'000'000};
  int64_t written = 0;
  for (int i = 0; i < 10'000; ++i)
    written += TryConsumeLine(limit, now) ? 1 : 0;
  EXPECT_EQ(written, kMaxLogBurst);
  written = 0;
  for (int ms = 1; ms <= 10'000; ++ms) {
    for (int i = 0; i < 5; ++i)
      written += TryConsumeLine(limit, now + Millis{ms}) ? 1 : 0;
  }
  EXPECT_EQ(written, 10 * kMaxLogLinesPerSecond);
}

TEST(LogLimitTest, AClockThatStepsBackTakesNothingAway) {
  LogLimit limit;
  EXPECT_TRUE(TryConsumeLine(limit, Millis{1'000'000}));
  EXPECT_TRUE(TryConsumeLine(limit, Millis{5}));
}

// Nobody reads the other end: what does not fit is left out and counted, and
// the writer goes on.
TEST(LoggingTest, AFullPipeIsNeverWaitedFor) {
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  const int before = dup(STDOUT_FILENO);
  ASSERT_EQ(dup2(ends[1], STDOUT_FILENO), STDOUT_FILENO);
  SetUpLogging(false);
  const uint64_t left_out = DroppedLogLines();
  const std::string text(500, 'x');
  for (int i = 0; i < 1'000; ++i)
    WriteLog({"test_event", {{"text", text}}});
  dup2(before, STDOUT_FILENO);
  close(before);
  close(ends[0]);
  close(ends[1]);
  EXPECT_GT(DroppedLogLines(), left_out);
}

}  // namespace
}  // namespace dogwoodfall
