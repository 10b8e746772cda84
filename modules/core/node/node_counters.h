#ifndef DOGWOODFALL_MODULES_CORE_NODE_NODE_COUNTERS_H_
#define DOGWOODFALL_MODULES_CORE_NODE_NODE_COUNTERS_H_

#include <cstdint>
#include <map>

#include "base/result_code.h"
#include "model/waste.h"

namespace dogwoodfall {

/** Counters of a daemon since its start. */
struct NodeCounters {
  /** Start commands sent to endpoints. */
  uint64_t starts = 0;
  /** TaskBatch messages sent to peers. */
  uint64_t task_batches = 0;
  /** Tasks forwarded to peers. */
  uint64_t tasks_forwarded = 0;
  /** Callers' requests forwarded to peers. */
  uint64_t requests_forwarded = 0;
  /** Answers of endpoints that match no open start. */
  uint64_t unmatched_endpoint_answers = 0;
  /** Answers of peers that match no open request. */
  uint64_t unmatched_peer_answers = 0;
  /** Heartbeats of senders that are not members. */
  uint64_t non_member_heartbeats = 0;
  Waste waste;
  /** Final answers of submissions by result code. */
  std::map<ResultCode, uint64_t> answers;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_NODE_COUNTERS_H_
