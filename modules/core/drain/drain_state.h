#ifndef DOGWOODFALL_MODULES_CORE_DRAIN_DRAIN_STATE_H_
#define DOGWOODFALL_MODULES_CORE_DRAIN_DRAIN_STATE_H_

#include <cstdint>
#include <set>

#include "base/millis.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** Phase of a graceful shutdown. */
enum class DrainPhase : uint8_t {
  /** No shutdown was requested. */
  kServing = 0,
  /** Not ready for new requests; work in flight runs to its end. */
  kFinishing = 1,
  /** The records of ended submissions are sent to a successor. */
  kHandingOver = 2,
  /** The successor is recorded in the store, and hash slots are handed over. */
  kWritingSuccessorRecords = 3,
  /** The handover is complete, or its time limit has passed. */
  kDone = 4,
};

/** State of a graceful shutdown. */
struct DrainState {
  DrainPhase phase = DrainPhase::kServing;
  Millis started_at;
  Millis phase_started_at;
  DaemonRef successor;
  /** Homes whose handover the successor has not confirmed. */
  std::set<DaemonRef> unconfirmed;
  bool is_successor_record_written = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DRAIN_DRAIN_STATE_H_
