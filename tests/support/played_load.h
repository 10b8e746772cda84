#ifndef DOGWOODFALL_TESTS_SUPPORT_PLAYED_LOAD_H_
#define DOGWOODFALL_TESTS_SUPPORT_PLAYED_LOAD_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/scheduling/scheduling_counters.h"
#include "core/scheduling/scheduling_options.h"

namespace dogwoodfall {

/** What the callers of some jobs got. */
struct Served {
  int sent = 0;
  int in_time = 0;
  int refused = 0;
  /** Sum of the times after which refused jobs were answered. */
  int64_t refused_after_ms = 0;

  double Share() const;
  double MeanRefusalMs() const;
};

/** Result of PlayLoad(). */
struct PlayedLoad {
  /** Share of the cores in use after the first second. */
  double share_in_use = 0;
  std::map<std::string, Served> by_kind;
  /** The largest tenth of each kind by processor time. */
  std::map<std::string, Served> largest_by_kind;
  /** Jobs with tasks of more than 1.2 times the mean size. */
  Served large_tasks;
  Served all;
  SchedulingCounters counters;
};

/** Plays 4 s of the load of deployment A in docs/UNEVEN-LOAD.md on one of eight
 * groups of 350 endpoints of 64 cores, each third one 1.5 times as large, that
 * take 0.7, 0.7 and 1.7 times the nominal run time.
 *
 * @param overload factor on the jobs per second
 */
PlayedLoad PlayLoad(const SchedulingOptions& options,
                    double overload,
                    uint32_t seed);

/** Prints what the callers got. */
void PrintPlayedLoad(const char* name, const PlayedLoad& played);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_PLAYED_LOAD_H_
