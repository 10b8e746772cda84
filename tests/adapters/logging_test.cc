#include "adapters/logging/logging.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

#include "adapters/logging/log_limit.h"

namespace dogwoodfall {
namespace {

TEST(LogLimitTest, AllowsABurstAndThenTheSustainedRate) {
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

TEST(LogLimitTest, ClockStepBackConsumesNoTokens) {
  LogLimit limit;
  EXPECT_TRUE(TryConsumeLine(limit, Millis{1'000'000}));
  EXPECT_TRUE(TryConsumeLine(limit, Millis{5}));
}

// Guards against a daemon that blocks in a write when its log reader hangs:
// nothing reads the pipe here, so lines that do not fit must be dropped and
// counted.
TEST(LoggingTest, DropsLinesInsteadOfBlockingOnAFullPipe) {
  int pipe_ends[2];
  ASSERT_EQ(pipe(pipe_ends), 0);
  const int saved_stdout = dup(STDOUT_FILENO);
  ASSERT_EQ(dup2(pipe_ends[1], STDOUT_FILENO), STDOUT_FILENO);
  SetUpLogging(false);
  const uint64_t dropped_before = DroppedLogLines();
  const std::string text(500, 'x');
  for (int i = 0; i < 1'000; ++i)
    WriteLog({"test_event", {{"text", text}}});
  dup2(saved_stdout, STDOUT_FILENO);
  close(saved_stdout);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
  EXPECT_GT(DroppedLogLines(), dropped_before);
}

}  // namespace
}  // namespace dogwoodfall
