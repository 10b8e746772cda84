#ifndef DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOG_LIMIT_H_
#define DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOG_LIMIT_H_

#include <algorithm>
#include <cstdint>

#include "base/millis.h"

namespace dogwoodfall {

/** Max sustained rate of log lines. A daemon at 30 jobs per second writes 150
 * lines per second; about three times that rate covers failures without filling
 * the disk.
 */
inline constexpr int64_t kMaxLogLinesPerSecond = 500;
/** Max lines in a burst. A takeover writes a line for each endpoint and job. */
inline constexpr int64_t kMaxLogBurst = 2'000;

/** Token bucket that limits the rate of log lines. */
struct LogLimit {
  /** Remaining tokens, in thousandths of a line. */
  int64_t tokens = kMaxLogBurst * 1'000;
  Millis refilled_at;
  /** Lines dropped since the last log_lines_left_out event. */
  uint64_t dropped = 0;
  uint64_t total_dropped = 0;
};

/** Consumes the tokens for one line.
 *
 * @return false when there are not enough tokens left
 */
inline bool TryConsumeLine(LogLimit& limit, Millis now) {
  const int64_t elapsed = std::max<int64_t>((now - limit.refilled_at).count, 0);
  limit.refilled_at = now;
  const int64_t capacity = kMaxLogBurst * 1'000;
  // Limits the elapsed time, as the product could overflow after a long pause.
  const int64_t refill = std::min(elapsed, capacity) * kMaxLogLinesPerSecond;
  limit.tokens = std::min(limit.tokens + refill, capacity);
  if (limit.tokens < 1'000)
    return false;
  limit.tokens -= 1'000;
  return true;
}

/** Records a line that was not written. */
inline void CountDroppedLine(LogLimit& limit) {
  ++limit.dropped;
  ++limit.total_dropped;
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOG_LIMIT_H_
