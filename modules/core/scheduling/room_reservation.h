#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ROOM_RESERVATION_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ROOM_RESERVATION_H_

#include "base/ids.h"
#include "base/millis.h"
#include "model/task_resources.h"

namespace dogwoodfall {

/** Capacity of an endpoint that is kept for the queued tasks of one job.
 *
 * @see queue_packing.h
 */
struct RoomReservation {
  SubmissionId job;
  /** When a task of the job is expected to fit. */
  Millis ready_at;
  /** Capacity that is expected to be left over beside that task then. */
  TaskResources surplus;
  /** Resources in use on the endpoint when the surplus was computed. */
  TaskResources used;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ROOM_RESERVATION_H_
