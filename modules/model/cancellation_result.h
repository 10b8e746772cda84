#ifndef DOGWOODFALL_MODULES_MODEL_CANCELLATION_RESULT_H_
#define DOGWOODFALL_MODULES_MODEL_CANCELLATION_RESULT_H_

#include <cstdint>

namespace dogwoodfall {

/** Result of a caller's request to cancel a transient job. */
enum class CancellationResult : uint8_t {
  /** No task of it starts any more. */
  kCancelled = 0,
  /** No daemon waits for its result. */
  kUnknownJob = 1,
  /** A daemon that may have the job has not answered. */
  kUndecided = 2,
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_CANCELLATION_RESULT_H_
