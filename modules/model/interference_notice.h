#ifndef DOGWOODFALL_MODULES_MODEL_INTERFERENCE_NOTICE_H_
#define DOGWOODFALL_MODULES_MODEL_INTERFERENCE_NOTICE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace dogwoodfall {

/** Maximum number of pairs in a notice. */
inline constexpr size_t kMaxNoticePairs = 64;
/** Maximum magnitude of the logarithm of a ratio in a notice. */
inline constexpr double kMaxLogRatio = 10;

/** A kind of task that is slowed by another one on the same endpoint. */
struct InterferencePair {
  std::string kind;
  std::string neighbour;
  /** Logarithm of the run time beside the neighbour relative to that without
   * it.
   */
  double log_ratio = 0;
  /** Number of runs beside the neighbour that it is estimated from. */
  uint32_t runs = 0;
};

/** The pairs of kinds that the sender has found to slow each other down. */
struct InterferenceNotice {
  std::vector<InterferencePair> pairs;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_INTERFERENCE_NOTICE_H_
