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

/** A job whose callers wait at this daemon for its result. */
struct PendingJob {
  TransientJob job;
  std::vector<CallerToken> callers;
  /** When it was received at the earliest. */
  Millis received_at;
  /** When it was received at the latest: a network cut may have held its
   * request up until then.
   */
  Millis received_by;
  /** Time until which it waits for the end of that cut before it is assigned.
   */
  Millis cut_awaited_until;
  /** When the last of its callers stops waiting. */
  Millis caller_deadline;
  /** The daemon that schedules it; none while it is not assigned. */
  DaemonRef scheduler;
  /** Endpoints that run it; without a zone before the first assignment. */
  EndpointGroup group;
  /** The group that its scheduler was told, or that it has reported. */
  EndpointGroup announced_group;
  bool may_have_started = false;
  /** True once it was forwarded to a less loaded group; at most once per job.
   */
  bool was_spilled_over = false;
  uint32_t redirects = 0;
  /** When it was last sent to a scheduler. */
  Millis assigned_at;
  /** When it was last confirmed to a scheduler. */
  Millis confirmed_at;
  /** The previous scheduler, which was requested to hand it over. */
  DaemonRef previous_scheduler;
  /** Time at which that daemon counts as last seen running if its last message
   * is older: when it was sent the job, redirected it or was requested to
   * transfer its progress.
   */
  Millis previous_assumed_alive_at;
  /** The daemon that was or will be sent the job's progress without having
   * accepted the job.
   */
  DaemonRef progress_holder;
  /** All daemons that were sent the job or its progress and may have started
   * it. They are notified when no caller waits for it any more.
   */
  std::vector<DaemonRef> holders;
  /** The job is not assigned before the view has this revision. */
  uint64_t required_view_revision = 0;
};

/** Counters of jobs and answers since the start of the daemon. */
struct ReceptionCounters {
  /** Upper bounds of the latency buckets, in ms; the last bucket has none. */
  static constexpr int64_t kLatencyBoundsMs[] = {50,  100,   200,  400,
                                                 800, 1'600, 3'200};
  static constexpr size_t kLatencyBucketCount = 8;
  static constexpr size_t kJobResultCount = 5;
  uint64_t jobs = 0;
  uint64_t callers_disconnected = 0;
  /** Answers by JobResult. */
  uint64_t answers[kJobResultCount] = {};
  /** Answers by JobResult and latency bucket. */
  uint64_t latency[kJobResultCount][kLatencyBucketCount] = {};
  /** Sum of the times from reception to answer, by JobResult. */
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
