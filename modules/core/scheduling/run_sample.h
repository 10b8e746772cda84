#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_SAMPLE_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_SAMPLE_H_

#include <cstdint>
#include <utility>
#include <vector>

namespace dogwoodfall {

/** A successful run of a job, as evidence of interference. */
struct RunSample {
  uint32_t step = 0;
  uint8_t kind = 0;
  /** Logarithm of the run time in ms at slowness 1. */
  double log_run_time = 0;
  /** Mean share of the endpoint's processors that its neighbours used. */
  double crowding = 0;
  /** Share of the run time without a neighbour. */
  double alone_share = 0;
  /** Shares of the run time with a neighbour of each kind, if above 0. */
  std::vector<std::pair<uint8_t, double>> shares;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_RUN_SAMPLE_H_
