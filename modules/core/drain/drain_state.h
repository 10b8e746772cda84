#ifndef DOGWOODFALL_MODULES_CORE_DRAIN_DRAIN_STATE_H_
#define DOGWOODFALL_MODULES_CORE_DRAIN_DRAIN_STATE_H_

#include <cstdint>
#include <set>

#include "base/millis.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** Step of a planned stop. */
enum class DrainPhase : uint8_t {
  /** Not stopping. */
  kServing = 0,
  /** Not ready; what is in flight runs to its end. */
  kFinishing = 1,
  /** Submissions that ended go to a successor. */
  kHandingOver = 2,
  /** The store is told who knows them, and slots are given away. */
  kWritingSuccessorRecords = 3,
  /** All is handed on, or the deadline passed. */
  kDone = 4,
};

/** A planned stop under way. */
struct DrainState {
  DrainPhase phase = DrainPhase::kServing;
  Millis started_at;
  Millis phase_started_at;
  DaemonRef successor;
  /** Homes whose hand-over the successor has not confirmed. */
  std::set<DaemonRef> unconfirmed;
  bool is_successor_record_written = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DRAIN_DRAIN_STATE_H_
