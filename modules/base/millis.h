#ifndef DOGWOODFALL_MODULES_BASE_MILLIS_H_
#define DOGWOODFALL_MODULES_BASE_MILLIS_H_

#include <cstdint>

namespace dogwoodfall {

/** A point in time or a duration, in milliseconds.
 *
 * Points in time passed to the core come from one clock per process: the wall
 * clock at the start plus the monotonic time since, so they never step back
 * while the process runs.
 *
 * @see ProcessClock
 */
struct Millis {
  int64_t count = 0;

  friend constexpr Millis operator+(Millis a, Millis b) {
    return {a.count + b.count};
  }
  friend constexpr Millis operator-(Millis a, Millis b) {
    return {a.count - b.count};
  }
  friend constexpr bool operator==(Millis a, Millis b) {
    return a.count == b.count;
  }
  friend constexpr bool operator!=(Millis a, Millis b) {
    return a.count != b.count;
  }
  friend constexpr bool operator<(Millis a, Millis b) {
    return a.count < b.count;
  }
  friend constexpr bool operator<=(Millis a, Millis b) {
    return a.count <= b.count;
  }
  friend constexpr bool operator>(Millis a, Millis b) {
    return a.count > b.count;
  }
  friend constexpr bool operator>=(Millis a, Millis b) {
    return a.count >= b.count;
  }
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_MILLIS_H_
