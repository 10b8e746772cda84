#ifndef DOGWOODFALL_MODULES_CORE_FLEET_RECEPTION_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_RECEPTION_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/daemon_ref.h"
#include "model/endpoint_group.h"
#include "model/transient_job.h"

namespace dogwoodfall {

/** A job whose callers wait for its end at this daemon. */
struct PendingJob {
  TransientJob job;
  std::vector<CallerToken> callers;
  Millis received;
  /** The caller stops waiting. */
  Millis caller_deadline;
  /** Who schedules it; none while nobody has it. */
  DaemonRef scheduler;
  /** Endpoints that run it; without a zone before it was first given away. */
  EndpointGroup group;
  bool may_have_started = false;
  /** True once it was passed to a group with more room; that is done once. */
  bool was_passed_on = false;
  uint32_t redirects = 0;
  /** When its scheduler got it. */
  Millis given_at;
  /** Who scheduled it before and is asked to hand it over. */
  DaemonRef previous;
  /** When that daemon was last taken to live, apart from being heard. */
  Millis former_since;
  /** Who was told of its progress, or will be, without having taken it. */
  DaemonRef progress_holder;
  /** It waits for this revision of the view. */
  uint64_t view_needed = 0;
};

/** Answers given, by JobResult, and how long callers waited for them. */
struct ReceptionCounters {
  /** Upper bounds of the latency buckets, in ms; the last has none. */
  static constexpr int64_t kLatencyBounds[] = {50,  100,   200,  400,
                                               800, 1'600, 3'200};
  static constexpr size_t kBuckets = 8;
  static constexpr size_t kJobResultCount = 4;
  uint64_t jobs = 0;
  uint64_t callers_gone = 0;
  uint64_t answers[kJobResultCount] = {};
  uint64_t latency[kJobResultCount][kBuckets] = {};
  double latency_sum_ms[kJobResultCount] = {};
};

/** State of a daemon as the receiver of callers' jobs. */
struct Reception {
  std::unordered_map<SubmissionId, PendingJob> pending;
  std::map<CallerToken, SubmissionId> by_caller;
  ReceptionCounters counters;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_RECEPTION_H_
