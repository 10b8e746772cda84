#ifndef DOGWOODFALL_MODULES_MODEL_TRANSIENT_JOB_H_
#define DOGWOODFALL_MODULES_MODEL_TRANSIENT_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/task_room.h"

namespace dogwoodfall {

/** Tasks of a job that are alike and may run side by side. */
struct JobStep {
  uint32_t task_count = 0;
  /** TaskResources of each task. */
  TaskResources resources;
  /** Run time as declared by the caller; often far off. */
  Millis declared_run_time;
  /** Earlier steps that must have ended before this one starts. */
  std::vector<uint32_t> after;
  /** Label that the endpoint must have; empty for any. */
  std::string required_label;
  /** Rack where the data lies; empty for none. */
  RackId preferred_rack;
  /** Most tasks of the step on one endpoint; 0 for no limit. */
  uint32_t max_per_endpoint = 0;
};

/** A job that is not kept: its answer goes to the request that brought it, and
 * after a loss the caller sends it again.
 */
struct TransientJob {
  /** Chosen by the caller; the same when it is sent again. */
  SubmissionId id;
  /** Name of the route it came by; jobs of a route are alike. */
  std::string route;
  /** Pool of endpoints that runs it. */
  std::string service;
  /** Given to each task's start as it came. */
  std::string payload;
  std::vector<JobStep> steps;
  /** 0 goes first. */
  uint32_t priority = 0;
  /** Failures of one task after which the job has failed. */
  uint32_t max_attempts = 1;
  /** The objective is this times the run time, plus the target latency. */
  double stretch = 1;
  Millis target_latency;
  /** Time since the receiver read the request. */
  Millis age;
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

/** A task's place in its job, for logs. */
inline std::string FormatTaskPosition(const JobTask& task) {
  return std::to_string(task.step) + "." + std::to_string(task.index);
}

/** How a transient job ended. */
enum class JobResult : uint8_t {
  /** Every task has ended well. */
  kCompleted = 0,
  /** A task failed as often as is allowed, or no endpoint can ever run it. */
  kFailed = 1,
  /** Nothing of it has started, and nothing will. */
  kRefused = 2,
  /** Given up after something has started; all of it is stopped. */
  kAbandoned = 3,
};

/** The end of a job, with when to come back after a refusal. */
struct JobOutcome {
  JobResult end = JobResult::kRefused;
  /** Zero when there is nothing to wait for. */
  Millis retry_after;
  /** Short text for logs: what decided it. */
  std::string reason;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_TRANSIENT_JOB_H_
