#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_INTERFERENCE_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_INTERFERENCE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/millis.h"
#include "core/scheduling/neighbour_times.h"
#include "model/interference_notice.h"
#include "ports/action.h"

namespace dogwoodfall {

struct ManagedEndpoint;
struct Run;
struct ScheduledJob;
struct Scheduler;
struct JobTask;

/** Weighted sums over the runs of one kind beside another one, or alone. */
struct InterferenceSums {
  double weight = 0;
  double squared_weight = 0;
  /** Sums of the deviation of the logarithm of the run time, of its square and
   * of the crowding (RunSample).
   */
  double deviation = 0;
  double squared_deviation = 0;
  double crowding = 0;
};

/** An estimate that another daemon has sent. */
struct ReceivedInterference {
  double log_ratio = 0;
  /** Runs that it counts as. */
  double runs = 0;
};

/** What is known of the runs of one kind. */
struct InterferenceKind {
  std::string name;
  /** When a run of it was last counted. */
  Millis used_at;
  /** By kind of the neighbour, then without neighbours. */
  std::array<InterferenceSums, kInterferenceKindCount + 1> sums = {};
  /** Neighbours that slow this kind as the runs here show, a bit for each. */
  uint64_t slowed_by = 0;
  /** The same with those that other daemons have reported. */
  uint64_t known_slowed_by = 0;
  /** Reports of other daemons by kind of the neighbour. */
  std::map<uint8_t, ReceivedInterference> received;
  /** Kinds that are held apart from this one, in either direction. */
  uint64_t held_apart = 0;
};

/** Which kinds of tasks slow each other down (docs/design/INTERFERENCE.md). A
 * kind is a route. All of it is empty unless SchedulingOptions::interference is
 * set.
 */
struct Interference {
  /** The numbers of the kinds by name; kOtherKinds has no name. */
  std::map<std::string, uint8_t> numbers;
  /** By number. */
  std::vector<InterferenceKind> kinds;
  /** Sums for the slope of run times over the crowding, for all kinds. */
  double crowding_square = 0;
  double crowding_deviation = 0;
  Millis reviewed_at;
  /** When pairs were last sent to other daemons; set by module fleet. */
  Millis sent_at;
  /** True when the pairs found here have changed since. */
  bool is_changed = false;
};

/** Returns the kinds that are held apart from a job's tasks, a bit for each. */
uint64_t GetHeldApartKinds(const Scheduler& scheduler, const ScheduledJob& job);

/** Returns true when two kinds are held apart. */
bool IsHeldApart(const Interference& interference,
                 const std::string& kind,
                 const std::string& other);

/** Returns the number of pairs that are held apart. */
size_t CountHeldApartPairs(const Interference& interference);

/** Counts a run that was placed on an endpoint. */
void CountPlacedRun(Scheduler& scheduler,
                    ManagedEndpoint& endpoint,
                    const ScheduledJob& job,
                    Run& run,
                    Millis now);

/** Counts a run of unknown kind that was found on an endpoint. */
void CountFoundRun(const Scheduler& scheduler,
                   ManagedEndpoint& endpoint,
                   Run& run,
                   Millis now);

/** Records that the start of a counted run is sent now. */
void RecordNeighboursAtStart(ManagedEndpoint& endpoint, Run& run, Millis now);

/** Ends the counting of a run that is removed from its endpoint. */
void UncountRun(ManagedEndpoint& endpoint, const Run& run, Millis now);

/** Keeps the run time and the neighbours of a run that succeeded now, until its
 * job is completed. Called before the run is removed.
 */
void RecordRunSample(Scheduler& scheduler,
                     ManagedEndpoint& endpoint,
                     const JobTask& task,
                     const Run& run,
                     Millis now);

/** Learns from the runs of a job whose tasks have all succeeded. */
void LearnInterference(Scheduler& scheduler, const ScheduledJob& job);

/** Lets the estimates decay and decides which pairs are held apart. Has an
 * effect once a second.
 */
void ReviewInterference(Scheduler& scheduler, Millis now, Actions& actions);

/** Returns the pairs that this daemon has found itself. What others have
 * reported is left out, so that no estimate returns to its source.
 */
InterferenceNotice MakeInterferenceNotice(const Scheduler& scheduler);

/** Applies the pairs that another daemon has found. */
void ApplyInterferenceNotice(Scheduler& scheduler,
                             const InterferenceNotice& notice,
                             Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_INTERFERENCE_H_
