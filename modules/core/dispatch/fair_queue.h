#ifndef DOGWOODFALL_MODULES_CORE_DISPATCH_FAIR_QUEUE_H_
#define DOGWOODFALL_MODULES_CORE_DISPATCH_FAIR_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/dispatch/queued_task.h"

namespace dogwoodfall {

/** A task that waits before it is queued again. */
struct PausedTask {
  QueuedTask task;
  Millis until;
};

/** Rank of a task in its customer's queue; lower ranks start first.
 *
 * The job with the least remaining work starts first. Waiting time offsets
 * remaining work at the rate kAgingRate, so that a large job is not starved.
 * Within a job the longest tasks start first.
 */
struct QueueRank {
  int64_t job_rank_ms = 0;
  int64_t task_rank_ms = 0;
  uint64_t number = 0;

  friend bool operator<(const QueueRank& a, const QueueRank& b) {
    return std::tie(a.job_rank_ms, a.task_rank_ms, a.number) <
           std::tie(b.job_rank_ms, b.task_rank_ms, b.number);
  }
};

/** Position of a queued task. */
struct QueuePlace {
  CustomerId customer;
  QueueRank rank;
};

/** Queued tasks of one customer. */
struct CustomerQueue {
  std::map<QueueRank, QueuedTask> tasks;
  /** Run time of the started tasks divided by the plan's weight, in ms. */
  double virtual_time_ms = 0;
};

/** Tasks waiting for a slot, with weighted fair queueing between customers. */
struct FairQueue {
  std::map<CustomerId, CustomerQueue> customers;
  std::map<TaskKey, QueuePlace> index;
  /** Tasks that wait for the end of a pause before their next attempt. */
  std::map<TaskKey, PausedTask> paused;
  std::multimap<Millis, TaskKey> pause_ends;
  /** Maximum virtual time at which a customer was charged. */
  double virtual_now_ms = 0;
  uint64_t next_number = 0;
};

/** Remaining work, in ms, that one ms of waiting offsets. */
inline constexpr int64_t kAgingRate = 4;

/** Adds a task. Returns false without effect when it is already queued or
 * paused.
 */
bool Push(FairQueue& queue, QueuedTask task);

/** Holds a task back until the given time. It must not be in the queue. */
void PushPaused(FairQueue& queue, QueuedTask task, Millis until);

/** Queues the tasks whose pause has ended. */
void ResumePausedTasks(FairQueue& queue, Millis now);

/** Removes and returns a task, or nothing when it is not in the queue. */
std::optional<QueuedTask> Remove(FairQueue& queue, const TaskKey& key);

/** Returns the number of waiting tasks, including paused ones. */
size_t SizeOf(const FairQueue& queue);

/** Returns the number of a customer's waiting tasks, excluding paused ones. */
size_t SizeOf(const FairQueue& queue, const CustomerId& customer);

/** Advances a customer's virtual time for a started task. */
void Charge(FairQueue& queue,
            const CustomerId& customer,
            Millis expected_run_time,
            uint32_t weight);

/** Returns the customers with waiting tasks, the next one to serve first. */
std::vector<CustomerId> ServingOrder(const FairQueue& queue);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DISPATCH_FAIR_QUEUE_H_
