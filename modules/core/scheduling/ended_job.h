#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDED_JOB_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDED_JOB_H_

#include "base/millis.h"
#include "model/endpoint_group.h"

namespace dogwoodfall {

/** A job that has ended here while runs of it may be active. */
struct EndedJob {
  /** The group that ran it; without a zone for a job that was never accepted
   * here.
   */
  EndpointGroup group;
  /** When its receiver got it, on this daemon's clock. */
  Millis received_at;
  /** By when all of its runs have ended. */
  Millis runs_ended_at;
  /** True when runs of it may be active that are not managed here. */
  bool has_unknown_runs = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDED_JOB_H_
