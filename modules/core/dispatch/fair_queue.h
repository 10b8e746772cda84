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

/** Place of a task among those of its customer; lower ones go first.
 *
 * The job with the least remaining work goes first; waiting makes up for work
 * at the rate kAgeing, so that a large job is not starved. Inside a job the
 * longest tasks go first.
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

/** Where a waiting task is found. */
struct QueuePlace {
  CustomerId customer;
  QueueRank rank;
};

/** Tasks of one customer. */
struct CustomerQueue {
  std::map<QueueRank, QueuedTask> tasks;
  /** Work started so far over the plan's weight, in ms. */
  double virtual_time_ms = 0;
};

/** Tasks waiting for a slot, fair between customers by weight. */
struct FairQueue {
  std::map<CustomerId, CustomerQueue> customers;
  std::map<TaskKey, QueuePlace> index;
  /** Tasks that wait for the end of a pause before their next try. */
  std::map<TaskKey, QueuedTask> paused;
  std::multimap<Millis, TaskKey> pause_ends;
  /** Virtual time of the customer served last. */
  double virtual_now_ms = 0;
  uint64_t next_number = 0;
};

/** Remaining work, in ms, that one ms of waiting makes up for. */
inline constexpr int64_t kAgeing = 4;

/** Adds a task. Adding one that is already in the queue does nothing.
 *
 * @return false when it was already there
 */
bool Push(FairQueue& queue, QueuedTask task);

/** Keeps a task back until a time. It must not be in the queue. */
void PushPaused(FairQueue& queue, QueuedTask task, Millis until);

/** Puts tasks whose pause is over among the waiting ones. */
void ResumePausedTasks(FairQueue& queue, Millis now);

/** Takes a task out, or returns nothing when it is not in the queue. */
std::optional<QueuedTask> Remove(FairQueue& queue, const TaskKey& key);

/** Number of waiting tasks, paused ones included. */
size_t SizeOf(const FairQueue& queue);

/** Number of waiting tasks of a customer without paused ones. */
size_t SizeOf(const FairQueue& queue, const CustomerId& customer);

/** Charges a customer for a started task. */
void Charge(FairQueue& queue,
            const CustomerId& customer,
            Millis expected_run_time,
            uint32_t weight);

/** Customers with waiting tasks, the one to be served next first. */
std::vector<CustomerId> ServingOrder(const FairQueue& queue);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_DISPATCH_FAIR_QUEUE_H_
