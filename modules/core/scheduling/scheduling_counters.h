#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULING_COUNTERS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULING_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace dogwoodfall {

/** What a scheduler has done, by outcome. */
struct SchedulingCounters {
  uint64_t jobs = 0;
  uint64_t starts = 0;
  uint64_t stops = 0;
  uint64_t renewals = 0;
  /** Starts by CommandOutcome. */
  std::array<uint64_t, 16> start_outcomes = {};
  /** Ends of runs by RunResult. */
  std::array<uint64_t, 8> run_results = {};
  /** Jobs by JobResult. */
  std::array<uint64_t, 8> job_results = {};
  /** Runs stopped since they took far longer than expected. */
  uint64_t overdue_runs = 0;
  /** Endpoints that got no work for a while, as they failed what they ran. */
  uint64_t ejections = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULING_COUNTERS_H_
