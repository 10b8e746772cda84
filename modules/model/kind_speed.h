#ifndef DOGWOODFALL_MODULES_MODEL_KIND_SPEED_H_
#define DOGWOODFALL_MODULES_MODEL_KIND_SPEED_H_

#include <cstdint>
#include <string>

namespace dogwoodfall {

/** Learned speed of the endpoints of a kind. */
struct KindSpeed {
  std::string kind;
  /** Mean of the natural logarithms of the endpoints' slowness. */
  double log_slowness = 0;
  /** Standard deviation of these logarithms. */
  double log_spread = 0;
  /** Number of endpoints that it was learned from. */
  uint32_t endpoints = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_KIND_SPEED_H_
