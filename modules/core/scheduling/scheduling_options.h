#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULING_OPTIONS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULING_OPTIONS_H_

namespace dogwoodfall {

/** Parts of the scheduling that a deployment's settings switch on. */
struct SchedulingOptions {
  /** Tells long jobs apart from slow endpoints (run_review.h), and places long
   * jobs on fast endpoints.
   */
  bool long_jobs = false;
  /** Derives the speed of unknown endpoints from that of their kind. */
  bool endpoint_kinds = false;
  /** Fills the free capacity of endpoints from the whole queue. */
  bool packing = false;
  /** Refuses jobs by a forecast of the capacity that becomes free. */
  bool admission_forecast = false;
  /** Keeps kinds of tasks apart that slow each other down. */
  bool interference = false;
  /** Reserved for loading cold endpoints, and zones that return to service, in
   * steps; has no effect yet.
   */
  bool warm_up = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SCHEDULING_OPTIONS_H_
