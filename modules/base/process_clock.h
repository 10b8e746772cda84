#ifndef DOGWOODFALL_MODULES_BASE_PROCESS_CLOCK_H_
#define DOGWOODFALL_MODULES_BASE_PROCESS_CLOCK_H_

#include <chrono>

#include "base/millis.h"

namespace dogwoodfall {

/** The clock of a process: the wall clock at its start plus the monotonic time
 * since, so that it never steps.
 */
class ProcessClock {
 public:
  ProcessClock()
      : wall_at_start(Read<std::chrono::system_clock>()),
        steady_at_start(Read<std::chrono::steady_clock>()) {}

  Millis Now() const {
    return this->wall_at_start + Read<std::chrono::steady_clock>() -
           this->steady_at_start;
  }

  /** Returns the wall clock time of the process start, in ms since 1970. */
  Millis Start() const { return this->wall_at_start; }

 private:
  template <typename Clock>
  static Millis Read() {
    return {std::chrono::duration_cast<std::chrono::milliseconds>(
                Clock::now().time_since_epoch())
                .count()};
  }

  Millis wall_at_start;
  Millis steady_at_start;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_PROCESS_CLOCK_H_
