#ifndef DOGWOODFALL_MODULES_CORE_NODE_NODE_COUNTERS_H_
#define DOGWOODFALL_MODULES_CORE_NODE_NODE_COUNTERS_H_

#include <cstdint>
#include <map>

#include "base/result_code.h"
#include "model/waste.h"

namespace dogwoodfall {

/** What a daemon has done since its start. */
struct NodeCounters {
  /** Starts sent to endpoints. */
  uint64_t starts = 0;
  /** Messages with tasks sent to peers. */
  uint64_t task_batches = 0;
  /** Tasks sent to peers. */
  uint64_t tasks_forwarded = 0;
  /** Callers' requests passed on to peers. */
  uint64_t requests_forwarded = 0;
  /** Answers of endpoints that fitted no open start. */
  uint64_t unmatched_endpoint_answers = 0;
  /** Answers of peers that fitted no open request. */
  uint64_t unmatched_peer_answers = 0;
  /** Heartbeats of daemons that are no members. */
  uint64_t non_member_heartbeats = 0;
  Waste waste;
  /** Final answers of submissions by code. */
  std::map<ResultCode, uint64_t> answers;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_NODE_COUNTERS_H_
