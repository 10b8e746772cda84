#ifndef DOGWOODFALL_MODULES_BASE_PROCESS_CLOCK_H_
#define DOGWOODFALL_MODULES_BASE_PROCESS_CLOCK_H_

#include <time.h>

#include "base/millis.h"

namespace dogwoodfall {

/** The clock of a process: the wall clock at its start plus the time since on
 * the boot clock. It never steps, and it counts the time for which the instance
 * was suspended.
 */
class ProcessClock {
 public:
  ProcessClock()
      : wall_at_start(Read(CLOCK_REALTIME)),
        boot_at_start(Read(CLOCK_BOOTTIME)) {}

  Millis Now() const {
    return this->wall_at_start + Read(CLOCK_BOOTTIME) - this->boot_at_start;
  }

  /** Returns the wall clock time of the process start, in ms since 1970. */
  Millis Start() const { return this->wall_at_start; }

 private:
  static Millis Read(clockid_t clock) {
    constexpr int64_t kMillisPerSecond = 1'000;
    constexpr int64_t kNanosPerMilli = 1'000'000;
    timespec time = {};
    clock_gettime(clock, &time);
    return {time.tv_sec * kMillisPerSecond + time.tv_nsec / kNanosPerMilli};
  }

  Millis wall_at_start;
  Millis boot_at_start;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_PROCESS_CLOCK_H_
