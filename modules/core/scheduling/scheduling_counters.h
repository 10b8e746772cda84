#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULING_COUNTERS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULING_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace dogwoodfall {

/** Counters of a scheduler since the start of the daemon. */
struct SchedulingCounters {
  uint64_t jobs = 0;
  uint64_t starts = 0;
  uint64_t stops = 0;
  uint64_t renewals = 0;
  /** Starts by CommandOutcome, unanswered ones included. */
  std::array<uint64_t, 16> start_outcomes = {};
  /** Ended runs by RunResult. */
  std::array<uint64_t, 8> run_results = {};
  /** Ended jobs by JobResult. */
  std::array<uint64_t, 8> job_results = {};
  /** Predictions of run times from the distribution of a route. */
  uint64_t run_time_predictions = 0;
  /** Runs that were stopped because they took far longer than expected. */
  uint64_t overdue_runs = 0;
  /** Runs that took as long but were not stopped, as their jobs are long. */
  uint64_t runs_of_long_jobs = 0;
  /** Runs that were stopped to start their tasks on a faster endpoint. */
  uint64_t relocated_runs = 0;
  /** Runs that were lost with their endpoints. */
  uint64_t lost_runs = 0;
  /** Jobs whose runs were stopped because their leases had ended. */
  uint64_t ended_job_leases = 0;
  /** Jobs that were ended because the schedulers of their repeats did not
   * acknowledge them.
   */
  uint64_t unannounced_jobs = 0;
  /** Jobs that another daemon schedules as well. */
  uint64_t jobs_scheduled_twice = 0;
  /** Submissions whose age was not known on arrival. */
  uint64_t submissions_of_unknown_age = 0;
  /** Tasks that were given up because they crash their endpoints. */
  uint64_t given_up_tasks = 0;
  /** Ejections of endpoints whose runs kept failing. */
  uint64_t ejections = 0;
  /** Findings that a kind of tasks is slowed by another one. */
  uint64_t interference_found = 0;
  /** Starts beside a kind that is held apart, for want of other room. */
  uint64_t starts_beside_held_apart = 0;
  /** Starts of tasks chosen from the whole queue. */
  uint64_t packed_starts = 0;
  /** Jobs that capacity was reserved for. */
  uint64_t reservations = 0;
  /** Jobs that were refused because no capacity was forecast for them in time.
   */
  uint64_t forecast_refusals = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULING_COUNTERS_H_
