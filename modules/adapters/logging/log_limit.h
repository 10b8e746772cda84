#ifndef DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOG_LIMIT_H_
#define DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOG_LIMIT_H_

#include <algorithm>
#include <cstdint>

#include "base/millis.h"

namespace dogwoodfall {

/** Most lines a second over time: a daemon at 30 jobs a second writes 150, and
 * three times as many leave room for faults without filling a disk.
 */
inline constexpr int64_t kMaxLogLinesPerSecond = 500;
/** Most lines at once: a takeover writes a line for each endpoint and job. */
inline constexpr int64_t kMaxLogBurst = 2'000;

/** Keeps the lines of a log below a rate. */
struct LogLimit {
  /** Thousandths of a line that may be written now. */
  int64_t budget = kMaxLogBurst * 1'000;
  Millis refilled;
  /** Lines left out since the last notice of it. */
  uint64_t left_out = 0;
  uint64_t total_dropped = 0;
};

/** Takes a line out of the budget. @return false when it is used up */
inline bool TryConsumeLine(LogLimit& limit, Millis now) {
  const int64_t passed = std::max<int64_t>((now - limit.refilled).count, 0);
  limit.refilled = now;
  const int64_t full = kMaxLogBurst * 1'000;
  // A long pause must not overflow the product.
  const int64_t gained = std::min(passed, full) * kMaxLogLinesPerSecond;
  limit.budget = std::min(limit.budget + gained, full);
  if (limit.budget < 1'000)
    return false;
  limit.budget -= 1'000;
  return true;
}

/** Counts a line that was not written. */
inline void CountDroppedLine(LogLimit& limit) {
  ++limit.left_out;
  ++limit.total_dropped;
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_LOGGING_LOG_LIMIT_H_
