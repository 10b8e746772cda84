#ifndef DOGWOODFALL_MODULES_MODEL_TRANSIENT_JOB_H_
#define DOGWOODFALL_MODULES_MODEL_TRANSIENT_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/task_resources.h"

namespace dogwoodfall {

/** Tasks of a job that are alike and may run in parallel. */
struct JobStep {
  uint32_t task_count = 0;
  /** Resources needed by each task. */
  TaskResources resources;
  /** Run time of each task as declared by the caller; often far off. */
  Millis declared_run_time;
  /** Indices of earlier steps that must have ended before this one starts. */
  std::vector<uint32_t> after;
  /** Label that the endpoint must have; empty for any. */
  std::string required_label;
  /** Rack that holds the data; empty for none. */
  RackId preferred_rack;
  /** Maximum number of tasks of the step on one endpoint; 0 for no limit. */
  uint32_t max_per_endpoint = 0;
};

/** Maximum magnitude of a stretch, so that run times multiplied by it can't
 * overflow.
 */
inline constexpr double kMaxStretch = 1'000'000;

/** A job that is not persisted. Its answer goes to the request that submitted
 * it; if the job is lost, the caller sends it again.
 */
struct TransientJob {
  /** Chosen by the caller; the same when the job is sent again. */
  SubmissionId id;
  /** Name of the matching route; jobs of one route are alike. */
  std::string route;
  /** Pool of endpoints that runs it. */
  std::string service;
  /** Passed unchanged to the start of each task. */
  std::string payload;
  std::vector<JobStep> steps;
  /** 0 is the highest priority. */
  uint32_t priority = 0;
  /** Number of failures of one task after which the job has failed. */
  uint32_t max_attempts = 1;
  /** The latency objective is stretch times the run time plus target_latency.
   */
  double stretch = 1;
  Millis target_latency;
  /** Maximum time since the request has arrived. */
  Millis age;
  /** Part of the age for which a network cut may have held the request up, but
   * need not have.
   */
  Millis uncertain_age;
  /** Time until the caller stops waiting. */
  Millis time_left;
};

/** One task of a transient job. */
struct JobTask {
  SubmissionId job;
  uint32_t step = 0;
  uint32_t index = 0;

  friend bool operator==(const JobTask& a, const JobTask& b) {
    return a.index == b.index && a.step == b.step && a.job == b.job;
  }
  friend bool operator<(const JobTask& a, const JobTask& b) {
    if (a.job != b.job)
      return a.job < b.job;
    return a.step != b.step ? a.step < b.step : a.index < b.index;
  }
};

/** Formats a task's position in its job as STEP.INDEX, for logs. */
inline std::string FormatTaskPosition(const JobTask& task) {
  return std::to_string(task.step) + "." + std::to_string(task.index);
}

/** Result of a transient job. */
enum class JobResult : uint8_t {
  /** Every task succeeded. */
  kCompleted = 0,
  /** A task reached the maximum number of failed runs. Final: the caller does
   * not send the job again, so nothing else may lead to it.
   */
  kFailed = 1,
  /** No task has started, and none will. */
  kRefused = 2,
  /** Abandoned after a task has started; all its runs are stopped. */
  kAbandoned = 3,
  /** A caller has cancelled it. Only callers are told; daemons do not send each
   * other this result.
   */
  kCancelled = 4,
};

/** Result of a job, and the time to retry after a refusal. */
struct JobOutcome {
  JobResult result = JobResult::kRefused;
  /** Time after which the caller should retry; zero when there is none. */
  Millis retry_after;
  /** Short cause of the result, for logs. */
  std::string reason;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_TRANSIENT_JOB_H_
