#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_KIND_ESTIMATES_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_KIND_ESTIMATES_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/scheduling/received_speed.h"
#include "model/kind_speed.h"

namespace dogwoodfall {

/** What the endpoints of a scheduler show about their kinds. */
enum class KindDifference : uint8_t {
  /** There are too few endpoints with enough runs, or the difference is neither
   * clear nor negligible.
   */
  kUnknown = 0,
  /** The kinds don't differ; speeds reported by other owners are not used. */
  kNone = 1,
  kClear = 2,
};

/** What a scheduler knows about the speeds of the kinds of endpoints. */
struct KindEstimates {
  KindDifference difference = KindDifference::kUnknown;
  /** Speeds learned from the own endpoints; empty unless the kinds differ
   * clearly.
   */
  std::vector<KindSpeed> learned;
  /** Speeds that other owners have reported, averaged. */
  std::vector<KindSpeed> reported;
  /** Speeds handed over for endpoints that are not owned here yet. */
  std::map<EndpointId, ReceivedSpeed> received_early;
  Millis updated_at;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_KIND_ESTIMATES_H_
